# Sixteen routers and all that they stored gone at once, and the hosts come back cold a moment before they do.
title    = "Everything lost"
seconds  = 60
quick    = 40
settle   = 3
seed     = 1
guards   = false
sessions = "together"
fleet    = "fleets/replication.hcl"

routers {
  count     = 16
  memory_mb = 64
  sockets   = 256
  apart_ms  = 50
  pace      = "answers"
}
fault "power-1" {
  kind = "crash"
  on   = "group:1"
  at   = 20
  for  = 3
}
fault "power-2" {
  kind = "crash"
  on   = "group:2"
  at   = 20
  for  = 3
}
restart "all" {
  share = 1
  kind  = "kill"
  state = "lost"
  back  = 4
  at    = 20
}
