.PHONY: help build test lint run check

help:
	@echo "make build | test | lint | run | check   (run and check want LB_CONFIG)"

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	exec target/release/sandstile serve

check: build
	target/release/sandstile check
