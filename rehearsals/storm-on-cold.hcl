# The same storm before hosts that have just started: the crowd that comes again meets a third of their cores.
title   = "Storm on cold hosts"
seconds = 36
quick   = 26
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
  kind = "crash"
  on   = "group:1"
  at   = 10
  for  = 4
}
