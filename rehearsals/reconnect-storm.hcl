# A group is gone for three seconds; whoever asked it comes again every 50 ms, whatever time it was told, and all of them the
# moment that it is back. Routers watch for storms.
title   = "Reconnect storm"
seconds = 30
quick   = 20
settle  = 3
seed    = 1
fleet   = "fleets/returns.hcl"

clients {
  retries       = 10
  pause_ms      = 50
  ignore_return = true
}
routers {
  count     = 16
  memory_mb = 64
  sockets   = 512
  apart_ms  = 150
  pace      = "answers"
  limits    = true
}

fault "gone" {
  kind = "hang"
  on   = "group:1"
  at   = 10
  for  = 4.5
}
