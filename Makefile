.PHONY: help build test lint run check soak

help:
	@echo "make build | test | lint | run | check | soak   (run and check want LB_CONFIG)"

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

soak: build
	cargo build --release --locked --package sandstile-shim --examples
	target/release/sandstile-lab soak --seed 1 --runs 4

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	exec target/release/sandstile serve

check: build
	target/release/sandstile check
