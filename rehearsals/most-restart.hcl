# Eleven of sixteen routers die in the same instant and are back within a second, with all their clients.
title   = "Most restart"
seconds = 30
quick   = 18
settle  = 3
seed    = 1
fleet   = "fleets/returns.hcl"

restart "most" {
  share = 0.7
  kind  = "kill"
  back  = 0.8
  at    = 10
}
