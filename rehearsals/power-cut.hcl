# The power fails: all hosts and all routers are gone in one instant. The routers are back first, the hosts after them and
# cold; a primary that was lost is another by then, and the list is late.
title   = "Power cut"
seconds = 40
quick   = 28
settle  = 3
seed    = 1
fleet   = "fleets/returns.hcl"

fault "hosts-1" {
  kind = "crash"
  on   = "group:1"
  at   = 10
  for  = 3
}
fault "hosts-2" {
  kind = "crash"
  on   = "group:2"
  when = "begins:hosts-1"
  for  = 3
}
agent "late" {
  kind     = "delay"
  delay_ms = 2000
  when     = "begins:hosts-1"
  for      = 12
}
restart "routers" {
  share  = 1
  kind   = "kill"
  back   = 1.5
  spread = 0.3
  when   = "begins:hosts-1"
}
