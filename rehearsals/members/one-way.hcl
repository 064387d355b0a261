# The first hears the others, and none of them hears it.
title   = "Members: one-way cut"
seconds = 60
quick   = 30
settle  = 3
seed    = 1
fleet   = "../fleets/members.hcl"

link "deaf" {
  from    = "router:0"
  to      = "router:1-4"
  kind    = "cut"
  one_way = true
  at      = 20
  for     = 20
}
