/*
 * The proof that a host's copy of the configuration is current. An operator withdraws a
 * key at the store. A host accepts the key while its proof is no older than BOUND ticks;
 * no request may run that was sent later than BOUND ticks after the store acknowledged
 * the withdrawal. The host reads the store itself, or takes an earlier read of a peer,
 * which tells its age. A read proves the copy once the copy holds what was read. The
 * copies get the withdrawal by watches, at any time or never. Host and peer may also
 * agree with each other, as they do on group records during an outage. Once the peer
 * knows of the withdrawal, the store may return from a copy without it; the host then
 * hears from the peer, which knows a greater version, before it counts a read.
 *
 * Time is counted in ticks. A step that is not taken stands for a process that is frozen,
 * a slow network or an outage.
 */

#define BOUND 2 /* ticks within which a withdrawn key must be refused */
#define LAST_TICK 6
#define NEVER 15

bool ran_withdrawn_key;  /* a request ran that was sent too late */

byte now;
byte revoked_at = NEVER; /* when the store acknowledged the withdrawal */
bool store_has_it;       /* the store holds the withdrawal */
bool restored;           /* the store returned from a copy without it */
bool host_has_it;        /* the host's copy holds it */
bool peer_has_it;        /* the peer's copy does */
bool peer_read;          /* the peer has read the store, */
byte peer_read_at;       /* at this time */
bool peer_saw_it;        /* and has seen the withdrawal */
bool proven;
byte proven_at;

proctype Clock()
{
end:	do
	:: now < LAST_TICK -> now++
	od
}

proctype Operator()
{
end:	d_step { store_has_it = true; revoked_at = now };
end_acknowledged:
	d_step { peer_has_it -> store_has_it = false; restored = true }
}

proctype Watches()
{
end:	do
	:: d_step { store_has_it && !host_has_it -> host_has_it = true }
	:: d_step { store_has_it && !peer_has_it -> peer_has_it = true }
	od
}

proctype Peer()
{
end:	do
	:: d_step {
		peer_read_at != now || peer_saw_it != store_has_it || !peer_read ->
		peer_read = true;
		peer_read_at = now;
		peer_saw_it = store_has_it }
	od
}

proctype Reader()
{
	byte asked_at;
	byte age;
	bool saw_it;

end:	do
	:: d_step { asked_at = now };
end_asking:
		if
		:: d_step { saw_it = store_has_it }     /* by the store */
		:: d_step { peer_read ->                /* by the peer's last read */
			saw_it = peer_saw_it;
			age = now - peer_read_at;
#ifndef AGE_IGNORED
			asked_at = (asked_at > age -> asked_at - age : 0);
#endif
			age = 0 }
#ifdef AGREEMENT_COUNTS
		:: d_step { host_has_it == peer_has_it -> saw_it = host_has_it }
#endif
		fi;
end_answered:
		d_step {                                /* the answer arrives, perhaps late */
#ifdef DATED_BY_ANSWER
			asked_at = now;
#endif
			if
#ifndef COPY_NOT_AWAITED
			:: saw_it && !host_has_it
#endif
#ifndef VERSIONS_NOT_COMPARED
			:: restored && peer_has_it && !host_has_it
#endif
			:: else ->
				proven_at = (asked_at > proven_at -> asked_at : proven_at);
				proven = true
			fi;
			asked_at = 0;
			saw_it = false
		}
	od
}

proctype Caller()
{
	byte sent_at;
	bool accepted;

end:	do
#ifdef JUDGED_BEFORE_READ
	:: d_step { accepted = !host_has_it && proven && now <= proven_at + BOUND };
end_judged:
		d_step { sent_at = now };
#else
	:: d_step { sent_at = now };
end_sent:
		d_step { accepted = !host_has_it && proven && now <= proven_at + BOUND };
#endif
end_running:
		d_step {                                /* it runs, perhaps late */
			ran_withdrawn_key = accepted && sent_at > revoked_at + BOUND;
			assert(!(ran_withdrawn_key));
			sent_at = 0;
			accepted = false
		}
	od
}

init
{
	atomic {
		run Clock();
		run Operator();
		run Watches();
		run Peer();
		run Reader();
		run Caller()
	}
}
