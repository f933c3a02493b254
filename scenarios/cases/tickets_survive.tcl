# Accepted tickets survive outages, the loss of old records and the replacement of every entry.
source [file join [file dirname [info script]] common.tcl.inc]
deployment
ticket json {{"number": 7, "note": "rename", "workspaces": [{"id": "w2", "name": "New Store", "former_names": ["Store"], "service": "plaitplan", "request_weight": 1}]}}
expect ticket 7 everywhere within 8s
entry e2 kill
entry e3 start south
expect ticket 7 everywhere within 8s
entry e1 kill
expect ticket 7 everywhere
log down
entry e4 start north
expect ticket 7 everywhere within 20s
log up
# The killed entries' requests may still run, so their shares come back late.
expect ready e4 within 16m
request r1 e4 -workspace Store -class check -deadline 9s
expect request r1 answered within 10s
