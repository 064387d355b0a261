# As replication.hcl, with groups that elect nobody for long: hosts that have room and check nothing themselves, replicas that are behind, sessions
# that a front pins to their routers and that carry nothing.
machine "std" {
  cores       = [1, 1]
  queue       = 64
  warm_s      = 3
  connections = 200
}

node "a1" { machine = "std" }
node "a2" { machine = "std" }
node "a3" { machine = "std" }
node "b1" { machine = "std" }
node "b2" { machine = "std" }
node "b3" { machine = "std" }

group "1" {
  nodes    = ["a1", "a2", "a3"]
  ship_ms  = 60
  detect_s = 60
  elect_s  = 0.4
}
group "2" {
  nodes    = ["b1", "b2", "b3"]
  ship_ms  = 60
  detect_s = 60
  elect_s  = 0.4
}

workload "clip-read" {
  consistency = "any"
  work_ms     = 3
  slo_ms      = 250
  timeout_ms  = 1000
}
workload "own-bookmarks" {
  consistency = "session"
  work_ms     = 3
  slo_ms      = 300
  timeout_ms  = 1500
  importance  = 2
}
workload "bookmark" {
  consistency = "write"
  work_ms     = 3
  slo_ms      = 400
  timeout_ms  = 1500
  importance  = 3
}

traffic "browse" {
  workload = "clip-read"
  rate     = 60
}
# Looked at at once, mostly before any replica can have it.
traffic "save-and-look" {
  workload = "bookmark"
  rate     = 90
  sessions = 3000
  then     = "own-bookmarks"
  think_ms = 20
}
# Looked at a little later: most replicas have it by then.
traffic "save-and-look-later" {
  workload = "bookmark"
  rate     = 60
  sessions = 3000
  then     = "own-bookmarks"
  think_ms = 400
}
# Sessions that mostly read: what they wrote is long ago.
traffic "look" {
  workload = "own-bookmarks"
  rate     = 120
  sessions = 3000
}

clients {
  retries     = 3
  pause_ms    = 100
  connections = 160
  pinned      = true
}
routers {
  count     = 5
  memory_mb = 64
  sockets   = 512
  apart_ms  = 100
}
