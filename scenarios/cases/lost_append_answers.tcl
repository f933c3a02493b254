# Answers of the log are lost after their effect: claims and jobs still take effect once.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
log lose-answers 6
request s1 e1 -class sort -key lot -body lot -deadline 9s
job submit j1 -workspace w1 -members 2 -accelerators 8 -run 2s -via e2
expect request s1 answered within 10s
expect request s1 ran 1
expect job j1 finished within 30s
expect job j1 attempt 1
