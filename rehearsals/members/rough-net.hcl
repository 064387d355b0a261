# One in five letters is lost, the others take 0.3 s by more or less, come twice and out of order.
title   = "Members: a rough net"
seconds = 80
quick   = 40
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

link "loss" {
  from  = "router:*"
  to    = "router:*"
  kind  = "loss"
  share = 0.2
  at    = 16
  for   = 44
}
link "delay" {
  from      = "router:*"
  to        = "router:*"
  kind      = "delay"
  delay_ms  = 300
  jitter_ms = 100
  at        = 16
  for       = 44
}
link "twice" {
  from  = "router:*"
  to    = "router:*"
  kind  = "duplicate"
  share = 0.2
  at    = 16
  for   = 44
}
link "disorder" {
  from  = "router:*"
  to    = "router:*"
  kind  = "reorder"
  share = 0.2
  at    = 16
  for   = 44
}
