/*
 * Claims, leases and takeovers of one task, with two owners of its queue and two workers.
 * Messages are delayed. A start message in slot 0 may also be lost or repeated. A heartbeat is lost
 * if it reaches a process that does not own the queue. Agents restart and leases expire. An owner
 * is not notified that the other one has taken over. Time is not modelled: a lease may expire at
 * any step. A worker is fenced only after its lease has expired; both sides allow for clock drift
 * to ensure this. Only worker 0 has lease expiry, fences and restarts; worker 1 is the other place
 * where the task can run.
 *
 * Checked: the task never runs on both workers. Each of these macros removes the rule beside it;
 * the check must then fail:
 * NO_SEQ: an agent refuses start messages that are not newer than the last accepted one.
 * NO_EPOCH: an agent refuses start messages with an outdated queue epoch.
 * NO_PAUSE: a worker pauses its task when its lease expires.
 *
 * Names: st_ is the stored row, own_ what an owner assumes, s_ a start message, b_ a heartbeat;
 * s_queue, b_queue and known_queue are queue epochs; own_we, s_we and b_epoch are worker epochs.
 */
#define MAX_ATTEMPT 2
#define MAX_QUEUE_EPOCH 2
#define MAX_SEQ 2
#define MAX_WORKER_EPOCH 3
/* Number of start messages in flight */
#define SLOTS 2

#define PENDING 0
#define RUNNING 1

/* Rows of the table service */
byte st_state, st_attempt, st_worker, queue_epoch = 1;
byte worker_epoch[2];

/* State that each owner assumes */
bool owns[2];
byte own_epoch[2], own_state[2], own_attempt[2], own_worker[2], own_we[2], own_seq[2], own_task_seq[2];

/* State of the agents and workers */
byte agent_epoch[2], known_queue[2], last_seq[2], held[2];
byte running[2], paused[2];
bool valid[2]; /* whether the lease of the worker is valid */

/* Start messages (s_) and heartbeats (b_) in flight */
bool s_used[SLOTS]; byte s_worker[SLOTS], s_attempt[SLOTS], s_queue[SLOTS], s_we[SLOTS], s_seq[SLOTS];
bool b_used; byte b_worker, b_queue, b_seq, b_held, b_epoch;

/* Unused fields are zeroed so that equivalent states are identical. */
inline clear_start(k) {
	s_used[k] = false; s_worker[k] = 0; s_attempt[k] = 0; s_queue[k] = 0; s_we[k] = 0; s_seq[k] = 0
}

/* The transaction of a claim is conditional on the stored queue epoch. */
inline claim(i, w) {
	(owns[i] && own_epoch[i] == queue_epoch && own_state[i] == PENDING &&
	 own_attempt[i] < MAX_ATTEMPT && agent_epoch[w] != 0) ->
	own_attempt[i]++; own_state[i] = RUNNING; own_worker[i] = w; own_we[i] = agent_epoch[w];
	own_task_seq[i] = 0;
	st_state = RUNNING; st_attempt = own_attempt[i]; st_worker = w
}

/* An owner sends or resends the start message of its running task. */
inline send(i, k) {
	(owns[i] && own_state[i] == RUNNING && own_seq[i] < MAX_SEQ && !s_used[k]) ->
	own_seq[i]++; own_task_seq[i] = own_seq[i];
	s_used[k] = true; s_worker[k] = own_worker[i]; s_attempt[k] = own_attempt[i];
	s_queue[k] = own_epoch[i]; s_we[k] = own_we[i]; s_seq[k] = own_seq[i]
}

/*
 * An agent receives a start message. A new queue epoch restarts the sequence numbers. With keep, the
 * message stays in flight and may be delivered again.
 */
inline deliver(k, keep) {
	s_used[k] ->
	if
	:: s_queue[k] > known_queue[s_worker[k]] ->
		known_queue[s_worker[k]] = s_queue[k]; last_seq[s_worker[k]] = 0
	:: else
	fi;
	if
#ifdef NO_EPOCH
	:: (s_seq[k] > last_seq[s_worker[k]]) ->
#else
#ifdef NO_SEQ
	:: (s_queue[k] >= known_queue[s_worker[k]]) ->
#else
	:: (s_queue[k] >= known_queue[s_worker[k]] && s_seq[k] > last_seq[s_worker[k]]) ->
#endif
#endif
		last_seq[s_worker[k]] = s_seq[k];
		if
		:: (held[s_worker[k]] == 0 && valid[s_worker[k]] &&
		    s_we[k] == agent_epoch[s_worker[k]]) ->
			held[s_worker[k]] = s_attempt[k]; running[s_worker[k]] = s_attempt[k]
		:: else
		fi
	:: else
	fi;
	if
	:: keep
	:: !keep -> clear_start(k)
	fi
}

/* An agent sends a heartbeat. */
inline beat(w) {
	(!b_used && agent_epoch[w] != 0) ->
	b_used = true; b_worker = w; b_queue = known_queue[w]; b_seq = last_seq[w];
	b_held = held[w]; b_epoch = agent_epoch[w]
}

/*
 * An owner receives the heartbeat. Its task becomes pending if the worker does not hold the attempt
 * and one of these holds: the worker epoch is newer, the last start message was accepted, or none
 * was sent. If the worker holds the attempt under a newer epoch, own_we becomes that epoch.
 */
inline take_beat(i) {
	(b_used) ->
	if
	:: (owns[i] && b_queue == own_epoch[i] && own_state[i] == RUNNING &&
	    own_worker[i] == b_worker && b_held != own_attempt[i] &&
	    (b_epoch > own_we[i] || own_task_seq[i] <= b_seq)) ->
		own_state[i] = PENDING
	:: (owns[i] && b_queue == own_epoch[i] && own_state[i] == RUNNING &&
	    own_worker[i] == b_worker && b_held == own_attempt[i] && b_epoch > own_we[i]) ->
		own_we[i] = b_epoch
	:: else
	fi;
	b_used = false; b_worker = 0; b_queue = 0; b_seq = 0; b_held = 0; b_epoch = 0
}

/*
 * The new owner reads the stored row. It assumes either the present worker epoch or epoch 1 for a
 * running task.
 */
inline take_over(i) {
	(queue_epoch < MAX_QUEUE_EPOCH && !owns[i]) ->
	queue_epoch++; owns[i] = true; own_epoch[i] = queue_epoch;
	own_state[i] = st_state; own_attempt[i] = st_attempt; own_worker[i] = st_worker;
	own_we[i] = 0; own_seq[i] = 0; own_task_seq[i] = 0;
	if
	:: st_state == RUNNING -> own_we[i] = agent_epoch[st_worker]
	:: st_state == RUNNING -> own_we[i] = 1
	:: else
	fi
}

/* An agent learns the stored queue epoch. */
inline learn_queue(w) {
	(agent_epoch[w] != 0 && known_queue[w] < queue_epoch) ->
	known_queue[w] = queue_epoch; last_seq[w] = 0
}

/* The lease of a worker expires. */
inline lapse(w) {
	valid[w] ->
	valid[w] = false;
#ifndef NO_PAUSE
	paused[w] = running[w]; running[w] = 0
#endif
}

/* An agent renews the expired lease of a worker that was not fenced. */
inline renew(w) {
	(!valid[w] && agent_epoch[w] != 0 && worker_epoch[w] == agent_epoch[w]) ->
	valid[w] = true;
	if
	:: paused[w] != 0 -> running[w] = paused[w]; paused[w] = 0
	:: else
	fi
}

/* An owner raises the epoch of a worker whose lease has expired. */
inline fence(i, w) {
	(owns[i] && own_epoch[i] == queue_epoch && !valid[w] && agent_epoch[w] != 0 &&
	 worker_epoch[w] == agent_epoch[w] && worker_epoch[w] < MAX_WORKER_EPOCH &&
	 own_state[i] == RUNNING && own_worker[i] == w) ->
	worker_epoch[w]++; own_state[i] = PENDING
}

/* A fenced agent drops its tasks and acquires a new lease. */
inline after_fence(w) {
	(worker_epoch[w] > agent_epoch[w] && worker_epoch[w] < MAX_WORKER_EPOCH) ->
	paused[w] = 0; running[w] = 0; held[w] = 0;
	worker_epoch[w]++; agent_epoch[w] = worker_epoch[w]; valid[w] = true;
	known_queue[w] = 0; last_seq[w] = 0
}

/* A restarted agent keeps the worker's tasks and acquires a new lease. */
inline restart(w) {
	(agent_epoch[w] != 0 && worker_epoch[w] == agent_epoch[w] &&
	 worker_epoch[w] < MAX_WORKER_EPOCH) ->
	worker_epoch[w]++; agent_epoch[w] = worker_epoch[w]; valid[w] = true;
	known_queue[w] = 0; last_seq[w] = 0;
	if
	:: paused[w] != 0 -> running[w] = paused[w]; paused[w] = 0
	:: else
	fi
}

active proctype world() {
	atomic {
		owns[0] = true; own_epoch[0] = 1;
		worker_epoch[0] = 1; worker_epoch[1] = 1;
		agent_epoch[0] = 1; agent_epoch[1] = 1; valid[0] = true; valid[1] = true
	}
	do
	:: atomic { claim(0, 0) } :: atomic { claim(0, 1) }
	:: atomic { claim(1, 0) } :: atomic { claim(1, 1) }
	:: atomic { send(0, 0) } :: atomic { send(0, 1) }
	:: atomic { send(1, 0) } :: atomic { send(1, 1) }
	:: atomic { deliver(0, false) } :: atomic { deliver(1, false) }
	:: atomic { deliver(0, true) }
	:: atomic { s_used[0] -> clear_start(0) }
	:: atomic { beat(0) } :: atomic { beat(1) }
	:: atomic { take_beat(0) } :: atomic { take_beat(1) }
	:: atomic { take_over(1) }
	:: atomic { learn_queue(0) } :: atomic { learn_queue(1) }
	:: atomic { lapse(0) }
	:: atomic { renew(0) }
	:: atomic { fence(0, 0) } :: atomic { fence(1, 0) }
	:: atomic { after_fence(0) }
	:: atomic { restart(0) }
	:: atomic { assert(running[0] == 0 || running[1] == 0) }
	od
}
