# What one router that remembers in its own memory gives, where hosts check reads themselves and nobody roams: what
# roaming-sessions is held against.
title    = "One router, nobody roams"
seconds  = 120
quick    = 40
seed     = 1
guards   = true
sessions = "off"

machine "std" {
  cores  = [1, 1]
  warm_s = 3
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
  detect_s = 1
  elect_s  = 0.4
}
group "2" {
  nodes    = ["b1", "b2", "b3"]
  ship_ms  = 60
  detect_s = 1
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
  rate     = 100
}
# Looked at at once, mostly before any replica can have it.
traffic "save-and-look" {
  workload = "bookmark"
  rate     = 130
  sessions = 60000
  then     = "own-bookmarks"
  think_ms = 20
}
# Looked at a little later.
traffic "save-and-look-later" {
  workload = "bookmark"
  rate     = 90
  sessions = 60000
  then     = "own-bookmarks"
  think_ms = 400
}

clients {
  retries     = 2
  connections = 160
}
routers {
  count     = 1
  memory_mb = 128
  sockets   = 768
}

# And a change of primary in the midst of it, in both groups.
fault "primary-1" {
  kind = "crash"
  on   = "primary:1"
  at   = 40
  for  = 6
}
fault "primary-2" {
  kind = "drain"
  on   = "primary:2"
  at   = 75
  for  = 20
}
