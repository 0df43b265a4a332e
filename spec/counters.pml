/*
 * The limit of a client account, which one host at a time counts. Host STRONG ranks
 * before host WEAK and joins and leaves; WEAK counts while STRONG is not registered.
 * Each knows the registrations from reads of the store, which it requests, which are
 * executed and which are answered at any later time. A read that was answered is a proof
 * that the copy is current as of its request, for PROOF ticks. A registration lasts until
 * its host removes it or, LEASE ticks after its last renewal, at any time.
 *
 * A host counts while it is the first on its copy, its proof is valid, its own lease
 * can't have ended, and for WAIT ticks it has been listed and the first. Its bucket
 * begins empty with each turn. Together the hosts may grant what one bucket grants that
 * was full at the beginning: then no window has more than its rate and its burst.
 *
 * Time is kept as ages and as times left, in ticks, so that the search has no last tick.
 * A step that is not taken stands for a frozen host, a partition or an outage.
 */

#ifdef LONG_PROOFS
#define PROOF 3 /* ticks for which a proof is valid */
#define LEASE 4 /* ticks of a registration without a renewal */
#else
#define PROOF 2
#define LEASE 3
#endif
#define BURST 2 /* tokens of a full bucket; one is added in each tick */

#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT PROOF
#endif
#define NEVER 9 /* the age of what is not the case */

#define WEAK 0
#define STRONG 1

bool granted_above_limit; /* the hosts granted more than one bucket */

byte allowed = BURST;     /* the tokens of the one bucket */

bool registered;          /* STRONG, in the store */
byte lease_left;          /* until STRONG's registration may lapse */
byte listed_left;         /* the same, as far as STRONG knows */
byte listed_age = NEVER;  /* how long STRONG has known that it is listed */
byte request_left;        /* what is left of a lease that STRONG has requested */

byte proof_left[2];       /* for how long each host's proof is valid */
byte read_left[2];        /* the same for the read that is being made */
byte first_age[2];        /* how long each host has been the first on its own copy */
byte tokens[2];           /* each host's bucket */

inline decrease(time)
{
	if
	:: time > 0 -> time--
	:: else
	fi
}

inline grow(age)
{
	if
	:: age < WAIT -> age++
	:: else
	fi
}

inline fill(bucket)
{
	if
	:: bucket < BURST -> bucket++
	:: else
	fi
}

proctype Clock()
{
end:	do
	:: d_step {
		fill(allowed);
		/* A bucket is filled from the beginning of its host's turn. */
		if
		:: first_age[WEAK] == WAIT -> fill(tokens[WEAK])
		:: else
		fi;
		if
		:: first_age[STRONG] == WAIT && listed_age == WAIT -> fill(tokens[STRONG])
		:: else
		fi;
		grow(first_age[WEAK]);
		grow(first_age[STRONG]);
		grow(listed_age);
		decrease(lease_left);
		decrease(listed_left);
		decrease(request_left);
		decrease(proof_left[WEAK]);
		decrease(proof_left[STRONG]);
		decrease(read_left[WEAK]);
		decrease(read_left[STRONG]) }
	od
}

inline end_turn(host)
{
#ifndef KEPT_BUCKET
	tokens[host] = 0;
#endif
	skip
}

/* Grant one token, if the host may count and its bucket has one. */
inline decide(host)
{
	d_step {
		(proof_left[host] > 0 && first_age[host] == WAIT && tokens[host] > 0 &&
		 (host == WEAK || (listed_age == WAIT && listed_left > 0))) ->
		tokens[host]--;
		granted_above_limit = (allowed == 0);
		assert(!(granted_above_limit));
		allowed--
	}
}

/* Apply the answer to a read of the store. */
inline apply_answer(host)
{
	d_step {
		if
		:: proof_left[host] == 0 ->
			/* Another host may have been the first meanwhile. */
			first_age[host] = NEVER;
			end_turn(host)
		:: else
		fi;
#ifdef PROOF_FROM_ANSWER
		proof_left[host] = PROOF;
#else
		proof_left[host] =
			(read_left[host] > proof_left[host] -> read_left[host] : proof_left[host]);
#endif
		if
		:: answer != host -> first_age[host] = NEVER; end_turn(host)
		:: answer == host && first_age[host] == NEVER -> first_age[host] = 0
		:: else
		fi;
		answer = false;
		read_left[host] = 0
	}
}

proctype Host(bit host)
{
	bool answer;

end:	do
	:: read_left[host] = PROOF;
end_asking:
		answer = registered;
end_answered:
		apply_answer(host)
	:: decide(host)
	od
}

/* The registration of STRONG: it joins, renews its lease, leaves, or lapses. */
proctype Registration()
{
end:	do
	:: listed_age == NEVER -> request_left = LEASE;
end_joining:
		d_step { registered = true; lease_left = LEASE };
end_joined:
		d_step {
			/* The answer may come after the lease has ended. */
			listed_age = 0;
			listed_left = request_left;
			request_left = 0 }
	:: d_step { listed_age != NEVER && registered ->
		lease_left = LEASE; listed_left = LEASE }
	:: d_step { listed_age != NEVER ->
		listed_age = NEVER; listed_left = 0; end_turn(STRONG) };
end_leaving:
		registered = false
	:: d_step { registered && lease_left == 0 -> registered = false }
	:: d_step { listed_age != NEVER && !registered ->
		listed_age = NEVER; listed_left = 0; end_turn(STRONG) }
	od
}

init
{
	atomic {
		/* WEAK has counted for long, and its bucket is full. */
		first_age[STRONG] = NEVER;
		first_age[WEAK] = WAIT;
		tokens[WEAK] = BURST;
		run Clock();
		run Host(WEAK);
		run Host(STRONG);
		run Registration()
	}
}
