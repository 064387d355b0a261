# What hunts add their schedules to: five routers before the fleet of the returns, short and moderately loaded.
title   = "Hunt"
seconds = 10
settle  = 1
seed    = 1
fleet   = "fleets/returns.hcl"

clients {
  retries  = 3
  pause_ms = 100
  crowd    = 10
}
routers {
  count     = 5
  memory_mb = 64
  sockets   = 512
  apart_ms  = 50
}
