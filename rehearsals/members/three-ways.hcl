# Five fall into three parts.
title   = "Members: three parts"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

partition "three" {
  sides = ["router:0-1", "router:2-3", "router:4"]
  at    = 20
  for   = 20
}
