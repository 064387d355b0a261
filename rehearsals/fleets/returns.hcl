# The fleet that rehearsals of returns share. A connection costs its host a process, a check of credentials and caches
# that are empty: 20 ms of a core, and its first statements take twice their work. Places are scarce: a pool of each
# router's own size at each host would be more than a host has.
machine "std" {
  cores            = [1, 1]
  queue            = 64
  warm_s           = 5
  cold_share       = 0.3
  connections      = 100
  setup_work_ms    = 20
  fresh_times      = 2
  fresh_statements = 3
}

node "a1" {
  machine = "std"
  zone    = "a"
}
node "a2" {
  machine = "std"
  zone    = "b"
}
node "a3" {
  machine = "std"
  zone    = "c"
}
node "b1" {
  machine = "std"
  zone    = "b"
}
node "b2" {
  machine = "std"
  zone    = "c"
}
node "b3" {
  machine = "std"
  zone    = "a"
}

group "1" {
  nodes    = ["a1", "a2", "a3"]
  ship_ms  = 10
  apply_ms = 0.5
  detect_s = 1.5
  elect_s  = 0.5
}
group "2" {
  nodes    = ["b1", "b2", "b3"]
  ship_ms  = 10
  apply_ms = 0.5
  detect_s = 1.5
  elect_s  = 0.5
}

workload "clip-read" {
  consistency = "any"
  work_ms     = 8
  slo_ms      = 250
  timeout_ms  = 1000
}
workload "feed" {
  consistency = "bounded"
  bound_ms    = 2000
  work_ms     = 8
  slo_ms      = 300
  timeout_ms  = 1000
}
workload "own-bookmarks" {
  consistency = "session"
  work_ms     = 6
  slo_ms      = 250
  timeout_ms  = 1000
  importance  = 2
}
workload "clip-write" {
  consistency = "write"
  work_ms     = 8
  slo_ms      = 400
  timeout_ms  = 1500
  importance  = 3
}

# Three quarters of what the replicas can do, and half of what the primaries can.
traffic "browse" {
  workload = "clip-read"
  rate     = 440
}
traffic "front-page" {
  workload = "feed"
  rate     = 240
}
traffic "bookmark" {
  workload = "clip-write"
  rate     = 80
  sessions = 800
  then     = "own-bookmarks"
  think_ms = 40
  roams    = 0.1
}

# Whoever lost its connection comes again, all at once.
clients {
  retries  = 3
  pause_ms = 100
  crowd    = 20
}
routers {
  count     = 16
  memory_mb = 64
  sockets   = 512
  # Before the evening begins they start one after the other: only the return is rehearsed.
  apart_ms  = 150
}
