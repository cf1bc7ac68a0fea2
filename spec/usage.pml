/*
 * Usage reports: which VM reports a window, and what.
 *
 * The record is in the platform's store and changes only by conditional update.
 * It names the holder of the duty, the token, and the report of the last window
 * with its contents.  A VM sends an update, the store applies or refuses it,
 * and the VM learns of that, each in a step of its own.  A VM may be frozen
 * between any two steps, or crash, which the model shows as a process that
 * takes no step while the clock runs on.  Answers to calls may be lost.
 *
 * The platform must not receive a lower token than before, the same token from
 * two VMs, two different reports of a window, or calls of two VMs in turn.
 *
 * Variants that must violate an assertion:
 * BROKEN_FRESH: a call is made whenever the last update was confirmed.
 * BROKEN_WAIT: a claim is made though the record has just changed.
 * BROKEN_TOKEN: a claim does not raise the token.
 * BROKEN_STORE: a report is sent before it is stored.
 * BROKEN_REPEAT: a successor counts again in place of repeating.
 */
#define VMS 2
#define MAX_WINDOW 2
#define MAX_VERSION 7
#define MAX_TIME 6
/* Times: a claim follows an unchanged record, a call a confirmation. */
#define LEASE 3
#ifdef BROKEN_WAIT
#define UNCHANGED 0
#else
#define UNCHANGED LEASE
#endif
#ifdef BROKEN_FRESH
#define FRESH MAX_TIME
#else
#define FRESH 1
#endif
#define NOBODY 255

byte now;

/* The record. */
byte rec_version = 1;
byte rec_holder = 0;
byte rec_token = 1;
byte rec_window = 0;
byte rec_value = 0;
bool rec_answered = true;

/* What the platform received. */
byte got_value[MAX_WINDOW + 1]; /* 0: nothing */
byte last_token;
byte last_holder = NOBODY;
byte last_call;
byte previous_holder = NOBODY;
byte previous_call;

inline receive(vm, token, window, value)
{
	atomic {
		assert(token >= last_token);
		assert(token > last_token || last_holder == vm);
		assert(got_value[window] == 0 || got_value[window] == value);
		if
		:: last_holder != vm ->
			assert(previous_holder != vm ||
			       now - previous_call >= LEASE);
			previous_holder = last_holder;
			previous_call = last_call;
			last_holder = vm
		:: else -> skip
		fi;
		last_call = now;
		last_token = token;
		got_value[window] = value
	}
}

/* Sends an update with the values new_...; sets ok. */
inline update()
{
	atomic {
		sent = now;
		expected = version
	}
	atomic {
		if
		:: rec_version == expected && rec_version < MAX_VERSION ->
			rec_version++;
			rec_holder = me;
			rec_token = new_token;
			rec_window = new_window;
			rec_value = new_value;
			rec_answered = new_answered;
			ok = true;
			applied = rec_version
		:: else -> ok = false
		fi
	}
	/* The VM learns of it: here it may have been frozen. */
	atomic {
		if
		:: ok && applied >= version ->
			version = applied;
			holder = me;
			token = new_token;
			window = new_window;
			value = new_value;
			answered = new_answered;
			seen = now;
			confirmed = sent;
			confirmed_version = applied
		:: else -> skip
		fi;
		ok = false
	}
}

/* The counts that a VM has at a moment; they differ between VMs. */
inline count()
{
	if
	:: new_value = 1
	:: new_value = 2
	fi
}

proctype Vm(byte me)
{
	byte version, holder, token, window, value, seen;
	bool answered = true;
	byte confirmed, confirmed_version, sent, expected, applied;
	byte new_token, new_window, new_value;
	bool new_answered, ok;

	do
	:: atomic {
		/* The feed brings a newer version. */
		version < rec_version ->
			version = rec_version;
			holder = rec_holder;
			token = rec_token;
			window = rec_window;
			value = rec_value;
			answered = rec_answered;
			seen = now
	   }
	:: atomic {
		version && holder != me && now - seen >= UNCHANGED ->
			new_window = window;
			new_value = value;
			new_answered = answered;
#ifdef BROKEN_TOKEN
			new_token = token;
#else
			new_token = token + 1;
#endif
#ifdef BROKEN_REPEAT
			if
			:: !answered -> count()
			:: else -> skip
			fi
#endif
	   }
	   update()
	:: atomic {
		version && holder == me && answered && window < MAX_WINDOW ->
			new_token = token;
			new_window = window + 1;
			new_answered = false;
			count()
	   }
#ifdef BROKEN_STORE
	   if
	   :: atomic {
		confirmed_version == version && now - confirmed <= FRESH ->
			receive(me, token, new_window, new_value)
	      }
	   :: else -> skip
	   fi;
#endif
	   update()
	:: atomic {
		/* The check and the call are one step. */
		version && holder == me && !answered &&
		confirmed_version == version && now - confirmed <= FRESH ->
			receive(me, token, window, value);
			new_token = token;
			new_window = window;
			new_value = value;
			new_answered = true
	   }
	   if
	   :: update()
	   :: skip /* the answer is lost */
	   fi
	:: atomic {
		/* Writes the record again to confirm the token. */
		version && holder == me && !answered &&
		(confirmed_version != version || now - confirmed > FRESH) ->
			new_token = token;
			new_window = window;
			new_value = value;
			new_answered = false
	   }
	   update()
	od
}

proctype Clock()
{
	do
	:: now < MAX_TIME -> now++
	od
}

init {
	atomic {
		run Vm(0);
		run Vm(1);
		run Clock()
	}
}
