# Nothing fails: what it costs to keep the same.
title    = "Replication: calm"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "state"
fleet    = "../fleets/replication.hcl"
