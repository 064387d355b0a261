# A primary dies in the midst of a split: both sides hear of another.
title   = "Members: failover in a split"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

partition "split" {
  sides = ["router:0-1", "router:2-4"]
  at    = 16
  for   = 24
}
fault "primary" {
  kind = "crash"
  on   = "primary:1"
  at   = 24
  for  = 6
}
