# Urgent work starts within 1.3 s although every accelerator is lent.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
for {set i 0} {$i < 6} {incr i} {
    job submit b$i -workspace w2 -members 1 -accelerators 8 -run 10m -checkpointable
}
wait 10s
job submit u1 -workspace w1 -members 1 -accelerators 8 -run 5s -urgent
expect job u1 running within 1300ms
