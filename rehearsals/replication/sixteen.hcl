# Sixteen routers, eleven of which die at once.
title    = "Replication: sixteen"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

routers {
  count     = 16
  memory_mb = 64
  sockets   = 256
  apart_ms  = 50
}
restart "most" {
  share = 0.7
  kind  = "kill"
  back  = 1
  at    = 24
}
