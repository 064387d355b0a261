# Five routers fall into two and three, and come together again.
title   = "Members: split into halves"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

partition "split" {
  sides = ["router:0-1", "router:2-4"]
  at    = 20
  for   = 20
}
