# The fleet that rehearsals of members share: two groups, hosts that have room, traffic that shows what is lost.
machine "std" {
  cores       = [1, 1]
  queue       = 64
  warm_s      = 5
  cold_share  = 0.3
  connections = 200
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

traffic "browse" {
  workload = "clip-read"
  rate     = 200
}
traffic "bookmark" {
  workload = "clip-write"
  rate     = 40
  sessions = 400
  then     = "own-bookmarks"
  think_ms = 40
  roams    = 0.1
}

clients {
  retries  = 3
  pause_ms = 100
}
routers {
  count     = 5
  memory_mb = 64
  sockets   = 256
  apart_ms  = 100
  members   = true
  share     = true
}
