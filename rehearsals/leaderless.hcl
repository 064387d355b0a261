# A primary is away for twenty seconds and nobody is elected: what looking for it costs the others.
title    = "Leaderless"
seconds  = 60
quick    = 30
settle   = 3
seed     = 1
guards   = false
sessions = "together"
fleet    = "fleets/leaderless.hcl"

fault "primary" {
  kind = "crash"
  on   = "primary:1"
  at   = 16
  for  = 20
}
