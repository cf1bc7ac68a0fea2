/*
 * Change of a group's primary, and the acknowledging of writes.
 *
 * The record lives in the platform's service and changes by conditional
 * update only.  Two promoters race; each may die or be cut off at any point,
 * which here is that it takes no further step.  A proxy runs writes and
 * answers them once the primary's term is proven current, by a lease or by a
 * majority of the databases.  A frozen proxy is one that takes no step for a
 * while.  Lost answers leave a promoter to read the record again.
 *
 * BROKEN_FENCE: the promoter does not wait.  BROKEN_SEAL: it seals nobody.
 * BROKEN_RETRY: a proxy sends again what may have run.
 */
#define DBS 3
#define MAJORITY 2
#ifndef MAXTERM
#define MAXTERM 2
#endif
#define LEASE 1
#ifdef BROKEN_FENCE
#define FENCE 0
#else
#define FENCE 2
#endif
#define WRITES 1

mtype = { STABLE, FENCING, PROMOTING };

/* The record. */
byte rec_term = 1;
mtype rec_state = STABLE;
byte rec_primary = 0;

/* The databases. */
byte db_term[DBS];
byte db_sealed[DBS];
bool db_primary[DBS];

/* The highest term that any database was promoted to. */
byte promoted = 1;

/* Timers run down together. */
byte lease[1];
byte asking[1];
byte fence[2];

inline cas(was_a, was_b, was_c, is_a, is_b, is_c)
{
	atomic {
		if
		:: rec_term == was_a && rec_state == was_b &&
		   rec_primary == was_c ->
			rec_term = is_a;
			rec_state = is_b;
			rec_primary = is_c
		:: else -> skip
		fi
	}
}

active proctype Clock()
{
	do
	:: atomic {
		lease[0] > 0 || asking[0] > 0 || fence[0] > 0 ||
		fence[1] > 0 ->
		lease[0] = (lease[0] > 0 -> lease[0] - 1 : 0);
		asking[0] = (asking[0] > 0 -> asking[0] - 1 : 0);
		fence[0] = (fence[0] > 0 -> fence[0] - 1 : 0);
		fence[1] = (fence[1] > 0 -> fence[1] - 1 : 0)
	}
	od
}

proctype Promoter(byte me)
{
	byte term, primary, sealed, d;
	mtype state;
	bool mark[DBS];

	do
	:: atomic {
		/* What an earlier round left makes no different state. */
		sealed = 0; d = 0;
		mark[0] = false; mark[1] = false; mark[2] = false;
		term = rec_term; state = rec_state; primary = rec_primary;
	   };
	   if
	   :: state == STABLE && term < MAXTERM ->
		/* Suspicion may be true or false. */
		cas(term, STABLE, primary, term + 1, FENCING, primary)
	   :: state == FENCING ->
		fence[me] = FENCE;
		fence[me] == 0;
#ifdef BROKEN_SEAL
		sealed = MAJORITY;
		mark[1] = true;
#endif
		do
		:: sealed < MAJORITY ->
			if
			:: d = 0
			:: d = 1
			:: d = 2
			fi;
			atomic {
				if
				:: !mark[d] && db_sealed[d] <= term ->
					db_sealed[d] = term;
					mark[d] = true;
					sealed++
				:: else -> break /* sealed by a later one */
				fi
			}
		:: else -> break
		od;
		if
		:: sealed >= MAJORITY ->
			if
			:: mark[0] -> d = 0
			:: mark[1] -> d = 1
			:: mark[2] -> d = 2
			fi;
			cas(term, FENCING, primary, term, PROMOTING, d)
		:: else -> skip
		fi
	   :: state == PROMOTING ->
		atomic {
			if
			:: db_sealed[primary] <= term &&
			   db_term[primary] <= term ->
				db_primary[primary] = true;
				db_term[primary] = term;
				db_sealed[primary] = term;
				promoted = (term > promoted -> term : promoted)
			:: else -> skip
			fi
		};
		if
		:: db_primary[primary] && db_term[primary] == term ->
			cas(term, PROMOTING, primary, term, STABLE, primary)
		/* The candidate is silent: the next term. */
		:: term < MAXTERM ->
			cas(term, PROMOTING, primary, term + 1, FENCING,
			    primary)
		fi
	   :: else -> break
	   fi
	od
}

proctype Proxy(byte me)
{
	byte term, primary, accept, d;
	byte at_run;	/* highest promoted term when the write had run */
	byte runs;	/* of one write that may not be repeated */
	byte left = WRITES;
	mtype state;
	bool asked[DBS];

	do
	:: left > 0 ->
		/* The lease counts from the sending of the question. */
		asking[me] = LEASE;
		atomic {
			term = rec_term; state = rec_state;
			primary = rec_primary;
			lease[me] = asking[me]
		};
		if
		:: state != STABLE -> goto again
		:: else -> skip
		fi;
		runs = 0;
execute:
		atomic {
			if
			:: db_primary[primary] && db_term[primary] == term &&
			   db_sealed[primary] <= term ->
				runs++;
				at_run = promoted
			:: else -> goto again /* refused: it did not run */
			fi
		};
		assert(runs <= 1);
		if
		:: skip /* the answer comes */
		:: goto lost
		fi;
		if
		:: atomic { lease[me] > 0 ->
			/* Proven by lease. */
			assert(promoted <= term) }
		:: true ->
			/* Proven by a majority, each asked by itself. */
			accept = 0;
			d_step { asked[0] = false; asked[1] = false;
				 asked[2] = false };
			do
			:: accept < MAJORITY ->
				if
				:: !asked[0] -> d = 0
				:: !asked[1] -> d = 1
				:: !asked[2] -> d = 2
				:: asked[0] && asked[1] && asked[2] ->
					goto again /* outcome unknown */
				fi;
				atomic {
					asked[d] = true;
					if
					:: db_sealed[d] <= term &&
					   db_term[d] <= term -> accept++
					:: else -> skip
					fi
				}
			:: else -> break
			od;
			/* It was current after the write ran. */
			assert(at_run <= term)
		fi;
		goto again;
lost:
#ifdef BROKEN_RETRY
		goto execute;
#endif
		skip; /* outcome unknown: said so, never sent again */
again:
		left--
	:: else -> break
	od
}

init {
	atomic {
		db_primary[0] = true;
		db_term[0] = 1; db_term[1] = 1; db_term[2] = 1;
		db_sealed[0] = 1; db_sealed[1] = 1; db_sealed[2] = 1;
		run Promoter(0);
		run Promoter(1);
		run Proxy(0)
	}
}
