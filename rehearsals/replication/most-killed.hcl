# Four of five die at once and find their state as they left it.
title    = "Replication: most-killed"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"

restart "most" {
  share = 0.8
  kind  = "kill"
  back  = 1
  at    = 24
}
