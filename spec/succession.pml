/*
 * Which replica is promoted: a primary whose commits are acknowledged once one replica
 * has them, a host that tells callers, replicas that are paused and asked, and a host or
 * a replica that is silent.
 */

#define REPLICAS 2

bool acked_write_lost; /* the promoted replica lacks an acknowledged commit */

byte log_size[REPLICAS]; /* commits that a replica has received */
bool paused[REPLICAS];
byte committed;          /* commits at the primary */
byte acked;              /* commits that the host acknowledged to callers */
byte reported;           /* what it said to have acknowledged, when it gave up */
bool host_gave_up;
byte chosen = 255;

#define HELD_BY_SOME(n) (log_size[0] >= (n) || log_size[1] >= (n))

proctype Primary()
{
end:	do
	:: committed < 2 -> committed++
	od
}

proctype Replication()
{
end:	do
	:: atomic { !paused[0] && log_size[0] < committed -> log_size[0]++ }
	:: atomic { !paused[1] && log_size[1] < committed -> log_size[1]++ }
	od
}

proctype Host()
{
end:	do
	:: atomic { acked < committed && HELD_BY_SOME(acked + 1) &&
#ifdef LATE_SUCCESS_TOLD
		chosen == 255 ->
#else
		!host_gave_up ->
#endif
		acked++ }
	:: atomic { !host_gave_up -> host_gave_up = true; reported = acked }
	od
}

/* The furthest of those that answered; replica 1 may be silent. */
proctype Promoter()
{
	byte best;
	bool both;

end:	paused[0] = true;
	if
	:: paused[1] = true; both = true
	:: true
	fi;
	best = (both && log_size[1] > log_size[0] -> 1 : 0);
end_choosing:
	if
	:: both -> chosen = best
#ifndef SILENT_HOST_IGNORED
	:: atomic { host_gave_up && log_size[0] >= reported -> chosen = 0 }
#else
	:: chosen = 0
#endif
	fi;
	d_step {
		acked_write_lost = log_size[chosen] < acked;
		assert(!(acked_write_lost))
	}
}

init
{
	atomic {
		run Primary();
		run Replication();
		run Host();
		run Promoter()
	}
}
