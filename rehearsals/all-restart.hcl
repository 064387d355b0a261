# A release goes wrong and is rolled back everywhere: all sixteen routers end and start again, none is left in between.
title   = "All restart"
seconds = 30
quick   = 18
settle  = 3
seed    = 1
fleet   = "fleets/returns.hcl"

restart "all" {
  share = 1
  kind  = "kill"
  back  = 0.8
  at    = 10
}
