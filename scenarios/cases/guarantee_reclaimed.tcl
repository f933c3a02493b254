# Idle guaranteed accelerators are lent and come back within the notice.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
for {set i 0} {$i < 6} {incr i} {
    job submit b$i -workspace w2 -members 1 -accelerators 8 -run 10m -checkpointable
}
wait 10s
job submit g1 -workspace w1 -members 2 -accelerators 8 -run 5s
expect job g1 running within 30s
expect job g1 finished within 60s
