# Five routers look for primaries that are away for long; the one that looks first is killed, another stands still, and they are split meanwhile.
title    = "Shared duties"
seconds  = 60
quick    = 40
settle   = 3
seed     = 1
guards   = false
sessions = "together"
fleet    = "fleets/leaderless.hcl"

# Nobody is elected for as long as the primary is away: all of them look for it.
fault "primary" {
  kind = "crash"
  on   = "primary:1"
  at   = 12
  for  = 30
}
restart "killed" {
  router = 0
  kind   = "kill"
  back   = 4
  at     = 18
}
stop "still" {
  router = 1
  for    = 4
  at     = 26
}
partition "split" {
  sides = ["router:0-1", "router:2-4"]
  at    = 34
  for   = 6
}
