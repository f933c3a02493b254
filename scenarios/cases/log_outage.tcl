# The log is down for ten minutes: running gangs and idempotent requests go on, refusals stay true.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
job submit j1 -members 2 -accelerators 8 -run 5m
expect job j1 running within 5s
log down
request s1 e1 -class sort -key lot -attempt 1 -deadline 2s
expect request s1 refused no within 3s
expect request s1 ran 0
for {set i 0} {$i < 20} {incr i} {
    wait 30s
    request r$i e[expr {$i % 2 + 1}] -class check
    expect request r$i answered within 2s
}
log up
expect job j1 finished within 30s
expect job j1 attempt 1
