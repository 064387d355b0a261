# One of five hears nobody and nobody hears it, and then all again.
title   = "Members: one and many"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

partition "alone" {
  sides = ["router:0", "router:1-4"]
  at    = 20
  for   = 20
}
