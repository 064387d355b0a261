# While eleven of sixteen routers are away the load rises by a quarter, and stays: clients that nobody sent away before. It is no
# storm, and what the hosts can do is to be served.
title   = "Honest jump"
seconds = 30
quick   = 20
settle  = 3
seed    = 1
fleet   = "fleets/returns.hcl"

routers {
  count     = 16
  memory_mb = 64
  sockets   = 512
  apart_ms  = 150
  pace      = "answers"
  limits    = true
}
traffic "newcomers" {
  workload = "clip-read"
  rate     = 1

  jump {
    at    = 10
    for   = 30
    times = 170
  }
}
restart "most" {
  share = 0.7
  kind  = "kill"
  back  = 0.8
  at    = 10
}
