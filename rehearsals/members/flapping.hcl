# A split that comes and goes each second.
title   = "Members: flapping"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

partition "flap0" {
  sides = ["router:0-1", "router:2-4"]
  at    = 20
  for   = 1
}

partition "flap1" {
  sides = ["router:0-1", "router:2-4"]
  at    = 24
  for   = 1
}

partition "flap2" {
  sides = ["router:0-1", "router:2-4"]
  at    = 28
  for   = 1
}

partition "flap3" {
  sides = ["router:0-1", "router:2-4"]
  at    = 32
  for   = 1
}

partition "flap4" {
  sides = ["router:0-1", "router:2-4"]
  at    = 36
  for   = 1
}

partition "flap5" {
  sides = ["router:0-1", "router:2-4"]
  at    = 40
  for   = 1
}
