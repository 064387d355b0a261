# All die at once, and what they stored is lost.
title    = "Replication: all-lost"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

restart "all" {
  share = 1
  kind  = "kill"
  state = "lost"
  back  = 1
  at    = 24
}
