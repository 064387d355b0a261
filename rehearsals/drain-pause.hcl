# A pause begins exactly while a drain is announced: on the primary as it hands over, and on the replica that
# is to take over.
title   = "Drain and pause at one moment"
seconds = 45
quick   = 22
seed    = 1

machine "std" {
  cores      = [1, 1]
  queue      = 64
  warm_s     = 5
  cold_share = 0.3
}

node "a1" {
  machine = "std"
  zone    = "a"
}
node "a2" {
  machine = "std"
  zone    = "a"
}
node "a3" {
  machine = "std"
  zone    = "b"
}
node "b1" {
  machine = "std"
  zone    = "a"
}
node "b2" {
  machine = "std"
  zone    = "b"
}
node "b3" {
  machine = "std"
  zone    = "b"
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
  work_ms     = 6
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
  work_ms     = 4
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
  rate     = 120
}
traffic "front-page" {
  workload = "feed"
  rate     = 60
}
traffic "bookmark" {
  workload = "clip-write"
  rate     = 25
  sessions = 400
  then     = "own-bookmarks"
  think_ms = 40
  roams    = 0.1
}

clients {
  retries  = 2
  pause_ms = 100
}
routers {
  count     = 2
  memory_mb = 64
  sockets   = 512
}

fault "drain-primary-1" {
  kind = "drain"
  on   = "primary:1"
  at   = 10
  for  = 30
}
# At the very moment at which the first router is told.
fault "pause-primary-1" {
  kind = "pause"
  on   = "host:s-1-a1"
  when = "announced:drain-primary-1"
  for  = 1
}
fault "drain-primary-2" {
  kind = "drain"
  on   = "primary:2"
  at   = 22
  for  = 30
}
# A moment before: the change is on its way and nobody has been told.
fault "pause-replica-2" {
  kind    = "pause"
  on      = "host:s-2-b2"
  when    = "begins:drain-primary-2"
  plus_ms = 5
  for     = 1.2
}
# And one after, on the other replica.
fault "pause-other-2" {
  kind    = "pause"
  on      = "host:s-2-b3"
  when    = "announced:drain-primary-2"
  plus_ms = 30
  for     = 1.2
}
agent "silence" {
  kind = "silent"
  when = "ends:pause-other-2"
  for  = 6
}
