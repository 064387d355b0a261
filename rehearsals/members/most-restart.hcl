# Eleven of sixteen are killed at once and come back.
title   = "Members: most restart"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

routers {
  count     = 16
  memory_mb = 64
  sockets   = 256
  apart_ms  = 100
  members   = true
  share     = true
}
restart "most" {
  share = 0.7
  kind  = "kill"
  back  = 0.8
  at    = 24
}
