/*
 * The choice of the replica to promote. A host acknowledges a commit to its callers
 * once one replica has it. The promoter pauses the replicas, asks for their log ends
 * and chooses the successor; the host or one replica may not answer.
 */

#define REPLICAS 2

bool acked_write_lost; /* the promoted replica lacks an acknowledged commit */

byte log_size[REPLICAS]; /* commits that each replica has received */
bool paused[REPLICAS];
byte committed;          /* commits at the primary */
byte acked;              /* commits that the host acknowledged to callers */
byte reported;           /* acked as the host reported it when it relinquished */
bool host_gave_up;       /* the host has relinquished the primary */
byte chosen = 255;       /* replica that is promoted, or 255 for none yet */

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

/* Chooses the replica with the longest log; replica 1 may not answer. */
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
