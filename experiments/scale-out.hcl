# After figures 4 and 5 of the DBFarm paper: many small databases, their primaries all on one machine, alone and with
# satellites that hold one copy each. 80% reads, clients without think time. The work of a statement is set so that the
# master alone meets the one point that the paper's text gives: 300 clients, 100 databases, a mean of one second.
title    = "Scale-out of many small databases"
seed     = 1
seconds  = 60
warm_s   = 20
wait_s   = 20
writes   = 0.2
read_ms  = 8
write_ms = 1.33
cores    = 2

figure "figure 4" {
  databases  = 100
  satellites = 10
  workers    = [25, 50, 100, 200, 300, 500, 700, 900]
}
figure "figure 5" {
  databases  = 300
  satellites = 30
  workers    = [25, 50, 100, 200, 300, 500, 700, 900]
}
figure "scaled down" {
  databases  = 12
  satellites = 3
  workers    = [4, 8, 16, 32, 64, 128]
  sockets    = true
}
