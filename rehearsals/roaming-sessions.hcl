# Viewers save bookmarks and look at them at once, at another router more often than not; routers are restarted and
# killed twenty times between. Hosts check nothing: whoever sends a read to a replica that lacks the bookmark has
# shown the viewer an old list. With sessions = "off" that happens.
title    = "Roaming sessions"
seconds  = 120
quick    = 40
seed     = 1
guards   = false
sessions = "both"

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
  roams    = 0.7
}
# Looked at a little later.
traffic "save-and-look-later" {
  workload = "bookmark"
  rate     = 90
  sessions = 60000
  then     = "own-bookmarks"
  think_ms = 400
  roams    = 0.7
}

clients {
  retries     = 2
  connections = 160
}
routers {
  count     = 3
  memory_mb = 128
  sockets   = 768
}

restart "r1" {
  router = 0
  kind   = "term"
  at     = 4.0
  back   = 0.4
}
restart "r2" {
  router = 1
  kind   = "kill"
  at     = 9.6
  back   = 0.4
}
restart "r3" {
  router = 2
  kind   = "term"
  at     = 15.2
  back   = 0.4
}
restart "r4" {
  router = 0
  kind   = "kill"
  at     = 20.8
  back   = 0.4
}
restart "r5" {
  router = 1
  kind   = "term"
  at     = 26.4
  back   = 0.4
}
restart "r6" {
  router = 2
  kind   = "kill"
  at     = 32.0
  back   = 0.4
}
restart "r7" {
  router = 0
  kind   = "term"
  at     = 37.6
  back   = 0.4
}
restart "r8" {
  router = 1
  kind   = "kill"
  at     = 43.2
  back   = 0.4
}
restart "r9" {
  router = 2
  kind   = "term"
  at     = 48.8
  back   = 0.4
}
restart "r10" {
  router = 0
  kind   = "kill"
  at     = 54.4
  back   = 0.4
}
restart "r11" {
  router = 1
  kind   = "term"
  at     = 60.0
  back   = 0.4
}
restart "r12" {
  router = 2
  kind   = "kill"
  at     = 65.6
  back   = 0.4
}
restart "r13" {
  router = 0
  kind   = "term"
  at     = 71.2
  back   = 0.4
}
restart "r14" {
  router = 1
  kind   = "kill"
  at     = 76.8
  back   = 0.4
}
restart "r15" {
  router = 2
  kind   = "term"
  at     = 82.4
  back   = 0.4
}
restart "r16" {
  router = 0
  kind   = "kill"
  at     = 88.0
  back   = 0.4
}
restart "r17" {
  router = 1
  kind   = "term"
  at     = 93.6
  back   = 0.4
}
restart "r18" {
  router = 2
  kind   = "kill"
  at     = 99.2
  back   = 0.4
}
restart "r19" {
  router = 0
  kind   = "term"
  at     = 104.8
  back   = 0.4
}
restart "r20" {
  router = 1
  kind   = "kill"
  at     = 110.4
  back   = 0.4
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
