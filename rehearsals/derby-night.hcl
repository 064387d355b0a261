# The derby: everybody comes at once, one machine is slow, replicas lag, and then a host has to be drained.
title   = "Derby night"
seconds = 120
quick   = 25
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
  rate     = 240

  jump {
    at    = 24
    for   = 20
    times = 2.2
    ramp  = 3
  }
  jump {
    at    = 72
    for   = 20
    times = 2.8
    ramp  = 1
  }
}
traffic "front-page" {
  workload = "feed"
  rate     = 120

  jump {
    at    = 24
    for   = 20
    times = 2.2
    ramp  = 3
  }
  jump {
    at    = 72
    for   = 20
    times = 2.8
    ramp  = 1
  }
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
  retries  = 2
  pause_ms = 100
}
routers {
  count     = 2
  memory_mb = 64
  sockets   = 512
}

# Cup final kick-off at a fifth of the evening; replays of the goal at three fifths.
fault "tired-machine" {
  kind  = "slow"
  share = 0.35
  on    = "node:a2"
  at    = 30
  for   = 60
}
fault "lag-1" {
  kind  = "slow_replay"
  share = 0.02
  on    = "replica:1:1"
  at    = 50
  for   = 30
}
fault "lag-2" {
  kind  = "slow_replay"
  share = 0.02
  on    = "replica:2:0"
  at    = 50
  for   = 30
}
fault "neighbour" {
  kind  = "neighbour"
  share = 0.4
  on    = "node:b1"
  at    = 70
  for   = 20
}
fault "drained" {
  kind = "drain"
  on   = "replica:2:1"
  at   = 80
  for  = 30
}
