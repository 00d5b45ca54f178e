package org.hollypick.config;

/** Every tunable number of the program, with its unit and the reason for its value. */
public final class Constants {
    private Constants() {}

    // ---- clocks ----
    /** Ratio. Two steady clocks may differ by 0.05 % each way; both ends may be off, so twice that. */
    public static final double DRIFT = 0.001;
    /** Milliseconds taken off every hold and added to every wait, for timer steps. */
    public static final long CLOCK_MARGIN_MS = 150;

    // ---- the state session ----
    /** Milliseconds. The successor of a crashed leader waits this long at most; it bounds how long nobody schedules. */
    public static final long STATE_SESSION_MS = 4_000;
    /** Milliseconds between renewals: three tries fit into a state session. */
    public static final long RENEW_MS = 1_000;
    /**
     * Milliseconds between two resignations in the group, doubled with each lately: a new leader needs some seconds to
     * hear of its machines.
     */
    public static final long RESIGN_PAUSE_MS = 10_000;
    /** Milliseconds after which a resignation no longer counts. */
    public static final long RESIGN_MEMORY_MS = 300_000;
    /** Doublings of that pause at most: about as long as resignations are remembered. */
    public static final int RESIGN_DOUBLINGS = 5;
    /**
     * Milliseconds that a term lasts at least before it is given up: machines report every few seconds, twice until
     * they are heard of.
     */
    public static final long TERM_LEAST_MS = 8_000;
    /** Milliseconds until a failed renewal is tried again: quick enough to catch the end of an outage. */
    public static final long RENEW_RETRY_MS = 500;
    /**
     * Milliseconds for which a node promises a leader that can't reach the state service not to claim its lead; also
     * how long a restarted node waits before it claims another's lead, since its earlier self may have promised.
     */
    public static final long PROMISE_MS = 4_000;
    /** Milliseconds since the last renewal after which promises are asked for: before the state session can lapse. */
    public static final long PROMISE_AFTER_MS = 1_600;
    /** Milliseconds between two rounds of asking: several fit into one promise. */
    public static final long PROMISE_EVERY_MS = 700;
    /**
     * Milliseconds for which a node that can't reach the state service, while another can, leaves users to the others;
     * renewed each round.
     */
    public static final long ALONE_MS = 2_000;
    /** Milliseconds that nodes wait, by rank, before claiming a free leadership, so that claims rarely collide. */
    public static final long CLAIM_STEP_MS = 150;
    /** Milliseconds for which a controller that gave up its lead leaves it to others: they claim within a second. */
    public static final long RESIGNED_MS = 6_000;
    /** Bits of an attempt number that count within one token; the rest is the token, so attempts never repeat. */
    public static final int ATTEMPT_BITS = 20;

    /**
     * Milliseconds for which a cancellation waits for a launch still under way before a new token ends that, if the
     * machine's lease was renewed in these: most are heard of, or their machine is gone, by then.
     */
    public static final long FENCE_MS = 15_000;
    /**
     * Milliseconds that a user waits for a cancellation before being told to ask again: less than the 2 s for which
     * another controller waits for this answer.
     */
    public static final long CANCEL_PATIENCE_MS = 1_800;
    /**
     * Milliseconds until a cancellation that isn't known to be durable is written again though no user waits: longer
     * than a write may take.
     */
    public static final long CANCEL_AGAIN_MS = 3_000;

    // ---- machines that only this leader can't reach ----
    /** Milliseconds between two questions to the other controllers about such machines. */
    public static final long REACH_EVERY_MS = 500;
    /** Machines in one such question at most: each costs the asked one a call. */
    public static final int REACH_MACHINES = 48;
    /**
     * Milliseconds for the asked controller's own question to a machine: its answer should be there before the leader's
     * second try is over.
     */
    public static final long REACH_INSPECT_MS = 700;
    /** Milliseconds for the whole question. */
    public static final long REACH_TIMEOUT_MS = 1_200;
    /** Milliseconds for which it counts that another controller reached a machine. */
    public static final long REACH_VALID_MS = 3_000;
    /**
     * Milliseconds for which a machine that others reach isn't returned, if the lead stays: its lease runs out without
     * a leader's answers.
     */
    public static final long REACH_PATIENCE_MS = 10_000;
    /**
     * Machines that others reach and this leader doesn't, from which on another should lead: two may be chance, packets
     * lost or a slow machine.
     */
    public static final int REACH_AT_FAULT = 3;

    // ---- whether machines are reached ----
    /** Milliseconds that a worker waits for the answer to its report, from the protocol. */
    public static final long ANSWER_WAIT_MS = 4_000;
    /**
     * Answers in a row that a machine has shown not to have taken until it counts as unreachable inbound: it tries
     * another controller after each, and there are three.
     */
    public static final int UNACKNOWLEDGED = 3;
    /**
     * Milliseconds between the reports of a machine that gets no answers at most: it waits for one, then a second, and
     * some slack.
     */
    public static final long UNHEARD_GAP_MS = 6_500;
    /**
     * Milliseconds for which a deaf machine, or one that has begun again, holds nothing until it is returned: about a
     * lease, after which it would be well by itself.
     */
    public static final long USELESS_MS = 30_000;

    // ---- ways round a cut link ----
    /**
     * Milliseconds without any answer after which a call to the state service goes another way: usual ones take ten,
     * now and then one a few hundred.
     */
    public static final long ROUTE_PATIENCE_MS = 500;
    /** Milliseconds until a way that failed is tried again: at most one small call a second each. */
    public static final long ROUTE_AGAIN_MS = 1_000;
    /** Calls of other controllers that one passes on at a time: their own limits keep them to some tens a second. */
    public static final int ROUTE_PASSING = 48;
    /** Milliseconds for a call that is passed on, at most: as long as a watch. */
    public static final long ROUTE_PASSED_MS = 10_000;
    /**
     * Machines of each zone that a controller asks before it claims the lead: some always hang, and a tenth doesn't
     * decide.
     */
    public static final int LEADERSHIP_DELAY_MACHINES = 8;
    /** Milliseconds for their answers: with fewer than half of them the claim waits anyway. */
    public static final long LEADERSHIP_DELAY_ASK_MS = 700;
    /**
     * Milliseconds after which the other controllers are asked about those that haven't answered: usual answers take a
     * few.
     */
    public static final long LEADERSHIP_DELAY_PATIENCE_MS = 150;
    /**
     * Milliseconds for which a controller that reaches no machine leaves a free lead to others, beside the next two:
     * they measure for a second.
     */
    public static final long LEADERSHIP_DELAY_MAX_MS = 2_000;
    /** Milliseconds that all machines out of reach make, each its part: more than ranks and measuring differ by. */
    public static final long LEADERSHIP_DELAY_STEP_MS = 1_200;
    /**
     * Milliseconds that it makes if all are reached by way of another controller only: less than what reaching half of
     * them makes.
     */
    public static final long LEADERSHIP_DELAY_PEER_MS = 300;
    /**
     * Share of what a leader reaches by all ways that another must reach alone to lead better: one machine of a sample
     * may hang.
     */
    public static final double LEADERSHIP_DELAY_BETTER = 0.9;
    /**
     * Milliseconds between a controller's words to a leader that it doesn't reach, while machines come to it that the
     * leader may miss.
     */
    public static final long LEADER_COMPLAINT_EVERY_MS = 2_500;
    /**
     * Milliseconds for which reports can't be handed on before that: a leader's crash shows in the leader record by
     * then.
     */
    public static final long LEADER_COMPLAINT_AFTER_MS = 2_000;
    /**
     * Milliseconds for which a machine counts as one that comes here: it asks each controller in turn, some seconds
     * each.
     */
    public static final long LEADER_COMPLAINT_MEMORY_MS = 10_000;
    /** Machines named in it at most: some are enough to show that there are some. */
    public static final int LEADER_COMPLAINT_MACHINES = 16;
    /**
     * Part of the workers' lease for which a leader hears of nearly no machine until it goes, whatever the pause
     * between resignations: the successor needs some seconds, and what isn't answered then ends.
     */
    public static final double CUT_OFF_LEASE = 1 / 3.0;

    // ---- kept leases ----
    /**
     * Milliseconds between two questions of a controller to the leader whether it may keep leases: one small call a
     * second.
     */
    public static final long KEEP_EVERY_MS = 1_000;
    /**
     * Milliseconds without an answer of the leader after which a controller counts as cut off from it: two questions
     * and more.
     */
    public static final long KEEP_LOST_MS = 2_500;
    /**
     * Milliseconds of a cancelled task's time that are left when a kept lease ends: to find and end what an order still
     * under way started.
     */
    public static final long KEEP_MARGIN_MS = 3_000;
    /** Milliseconds below which keeping isn't worth anything: workers report every few seconds. */
    public static final long KEEP_LEAST_MS = 3_000;
    /** Answers of a leader that it remembers the times of, by controller: more are never under way. */
    public static final int KEEP_ANSWERS = 8;
    /** Milliseconds added to a worker's lease before it counts as over: its own clock's steps. */
    public static final long LEASE_MARGIN_MS = 500;

    // ---- reports handed on to the leader ----
    /**
     * Milliseconds for which reports are gathered before they are handed on: a report may come late by a tenth of its
     * interval unnoticed.
     */
    public static final long RELAY_GATHER_MS = 40;
    /** Milliseconds for which a report may wait for a leader; the machine waits 4 s for its answer. */
    public static final long RELAY_HOLD_MS = 2_500;
    /**
     * Milliseconds until waiting reports are looked at again, and until a failed bundle is sent again, doubled with
     * each failure up to so many times.
     */
    public static final long RELAY_RETRY_MS = 100;

    public static final int RELAY_DOUBLINGS = 3;
    /** Milliseconds for a bundle. */
    public static final long RELAY_TIMEOUT_MS = 1_200;
    /**
     * Milliseconds for which a leader's answers may be passed on: as long as a bundle may take. A leader that resigns
     * waits that long.
     */
    public static final long RELAY_RIGHT_MS = 1_200;
    /**
     * Reports in one bundle at most, and their bytes: a request holds 64 KiB, and base64 makes a third more of them.
     */
    public static final int RELAY_REPORTS = 200;

    public static final int RELAY_BYTES = 40_000;
    /** Bundles under way at most: the leader answers the reports of one together. */
    public static final int RELAY_OPEN = 3;
    /** Reports that wait at most, and their bytes: one of each of some thousand machines. */
    public static final int RELAY_HELD = 6_000;

    public static final int RELAY_HELD_BYTES = 4 * 1024 * 1024;
    /** Milliseconds since its last bundle for which a controller counts as one that hands reports on. */
    public static final long RELAY_ALIVE_MS = 3_000;
    /** Part of the machines that the leader hears itself, as a multiple of the others'. */
    public static final double LEADER_SHARE = 0.5;
    /** Multiple of its part, and machines besides, from which on a controller has too many: less isn't worth a move. */
    public static final double UNEVEN = 1.25;

    public static final int UNEVEN_MACHINES = 8;
    /** Share of the machines that are sent elsewhere in a second at most. */
    public static final double MOVED_SHARE = 0.02;

    // ---- task graphs ----
    /** Nodes in one entry of a graph's log at most: some kilobytes before they are packed. */
    public static final int GRAPH_NODES_AN_ENTRY = 200;
    /** Bytes that one awaited node may take in a packed entry, at worst. */
    public static final int GRAPH_AWAIT_BYTES = 7;
    /** Bytes of one node's result at most: larger ones are stored elsewhere, and a reference is kept. */
    public static final int GRAPH_RESULT_BYTES = 4 * 1024;
    /** Bytes of all results of one graph at most: every controller holds them, packed. */
    public static final int GRAPH_RESULTS_BYTES = 4 * 1024 * 1024;
    /**
     * Entries of one graph that wait to be written, beyond which its calls are refused for now: some seconds' worth.
     */
    public static final int GRAPH_BACKLOG = 2_000;
    /** Milliseconds between two writes of one graph: calls that come close together share one. */
    public static final long GRAPH_GAP_MS = 100;
    /** Milliseconds until a call that isn't durable yet is given up: its user waits 5 s. */
    public static final long GRAPH_TELL_MS = 4_000;
    /** Milliseconds for a call that is passed on to the leader: it answers before its own time is up. */
    public static final long GRAPH_PASS_MS = 4_500;
    /**
     * Milliseconds until a graph that isn't sealed is cancelled: a client that lives sends its parts within seconds.
     */
    public static final long GRAPH_SEAL_MS = 600_000;
    /** Times that a failed task is tried again, if the client doesn't say. */
    public static final int GRAPH_RETRIES = 3;
    /** Characters of a node's id at most. */
    public static final int GRAPH_ID_LENGTH = 64;
    /** Nodes on one page of an answer: well below 64 KiB. */
    public static final int GRAPH_PAGE = 250;
    /** Seconds for which the nodes and results of a graph that is over are kept, if the operators don't say. */
    public static final double GRAPH_KEEP_S = 3_600;

    // ---- estimates ----
    /** Records of what was learned: with the smallest values some hundred kinds fit. */
    public static final int LEARNED_SLOTS = 8;
    /** Runs of a kind that a record holds. */
    public static final int LEARNED_RUNS = 32;
    /** Milliseconds between two such records: three changes a minute. */
    public static final long LEARNED_MS = 20_000;
    /** The format of those records; newer ones are left alone. */
    public static final int LEARNED_FORMAT = 1;

    // ---- start ----
    /** Milliseconds until an address that is taken is tried again. */
    public static final long LISTEN_AGAIN_MS = 500;
    /** Times that it is tried: half a minute; then another program has it, and the end says so. */
    public static final int LISTEN_TRIES = 60;

    // ---- calls ----
    /** Milliseconds for a call to the state service; normal answers take 10 ms, a few hundred at times. */
    public static final long STATE_TIMEOUT_MS = 2_000;
    /** Milliseconds a watch waits; far below the service's limit, so that a dead connection is noticed. */
    public static final long WATCH_MS = 8_000;
    /** Milliseconds between two watch requests of one node: bounds the requests a busy stream costs. */
    public static final long WATCH_GAP_MS = 60;
    /** Milliseconds within which the watch has to bring what a read has told of; users wait 2 s for a poll. */
    public static final long CATCH_UP_MS = 1_000;
    /** Milliseconds for which a node gathers users' polls before it asks the leader about all of them at once. */
    public static final long GATHER_MS = 40;
    /** Milliseconds for a call to the cloud. */
    public static final long CLOUD_TIMEOUT_MS = 5_000;
    /** Milliseconds for an order to a worker; after that its outcome is open. */
    public static final long ORDER_TIMEOUT_MS = 1_000;
    /** Milliseconds for a question to another node; users wait 2 s for a poll. */
    public static final long MESH_TIMEOUT_MS = 700;
    /** Milliseconds for which a leader that left a question unanswered isn't asked: its record is read instead. */
    public static final long LEADER_SILENT_MS = 3_000;
    /**
     * Milliseconds by which a call's end is put off once, so that what came in while this process was held up is read
     * first.
     */
    public static final long LAST_LOOK_MS = 30;
    /**
     * Share of the sockets that are given out: connections made and not yet asked anything aren't counted, nor are
     * listening sockets.
     */
    public static final double SOCKETS_USED = 0.95;
    /**
     * Share kept for the state service, the cloud, other controllers and health checks, and the least number: some
     * connections to each.
     */
    public static final double CONTROL_SOCKETS = 0.03;

    public static final int CONTROL_SOCKETS_LEAST = 40;
    /** Share kept for calls to machines: all that may be under way at once, and some kept for later. */
    public static final double ORDER_SOCKETS = 0.12;
    /**
     * Share kept for machines' reports; beyond their room connections are closed after the answer, which costs a
     * connection a report.
     */
    public static final double REPORT_SOCKETS = 0.40;
    /** Share kept for users: polls and submissions come on connections of their own. */
    public static final double USER_SOCKETS = 0.15;
    /** Connections kept to one address at most; keeps sockets bounded. */
    public static final int CONNECTIONS_PER_ADDRESS = 6;
    /**
     * Share of the sockets for connections that this node opened and keeps for later; workers and users need most of
     * the rest.
     */
    public static final double IDLE_SOCKETS = 0.15;
    /** Calls waiting for a connection to one address; beyond it the call fails at once. */
    public static final int QUEUED_PER_ADDRESS = 200;
    /** Ratio of the state service's limits that the nodes plan to use together. */
    public static final double STATE_BUDGET = 0.85;
    /** Ratio of the writes that the leader may use; the others share the rest. */
    public static final double LEADER_WRITE_SHARE = 0.4;
    /**
     * Milliseconds of one stretch over which the other controllers' changes are counted: they get unused shares back
     * that soon.
     */
    public static final long SHARE_WINDOW_MS = 1_000;
    /** Such stretches over which the mean is taken: a few submissions more or less in one of them are chance. */
    public static final int SHARE_WINDOWS = 3;
    /** Requests queued at the state client before new submissions are refused with 503. */
    public static final int STATE_QUEUE = 100;
    /** Milliseconds a queued state request may wait for its turn; users give up after 5 s. */
    public static final long STATE_QUEUE_MS = 2_500;
    /** Milliseconds until queued state requests are looked at again: far less than users wait, and few timers. */
    public static final long STATE_QUEUE_STEP_MS = 20;
    /**
     * Share of that time which may be used up by what is queued already when something new is taken on: other requests
     * share the way.
     */
    public static final double QUEUE_PROMISE = 0.8;

    /**
     * Share of the state service's limit on a value that is used, by the bytes of compact JSON: it may count white
     * space too.
     */
    public static final double VALUE_SHARE = 0.875;
    /**
     * Transactions under way at once that end finished jobs: one whose answer is lost blocks its place for two seconds.
     */
    public static final int ENDS_UNDER_WAY = 4;
    /**
     * The same while requests wait for their turn: with half a second's worth each, half of what may wait there, so
     * that new jobs have the other half.
     */
    public static final int ENDS_WAITING = 2;
    /**
     * Seconds' worth of changes in one transaction of ends at most: a larger one would hold up for longer what users
     * wait for.
     */
    public static final double BATCH_S = 0.5;
    /**
     * Times that a submission's record is tried: the leader record may have changed since this node last heard of it.
     */
    public static final int CREATE_TRIES = 2;

    // ---- user interface ----
    /**
     * Milliseconds after which a connection without a request is closed: three or four reports or polls; lost machines
     * don't hang up.
     */
    public static final int IDLE_CONNECTION_MS = 20_000;
    /** Bytes of a request body, from the protocol. */
    public static final int BODY_BYTES = 64 * 1024;
    /** Seconds told in Retry-After: the shortest the protocol allows, since most refusals are brief. */
    public static final int RETRY_AFTER_S = 1;
    /** Seconds told at most to those refused in a crowd, each another number, so that they don't come back together. */
    public static final int RETRY_SPREAD_S = 3;
    /** Tasks of one job at most, from the protocol. */
    public static final int TASKS_MAX = 100_000;
    /**
     * Tasks in one part of a progress record at most: 4 KiB of bits is 5.5 KiB in base64. Smaller values hold smaller
     * parts.
     */
    public static final int PROGRESS_CHUNK = 32_768;
    /** Bytes around the bits of one part of a progress record: its name, quotes, colon, comma, base64's filling. */
    public static final int PROGRESS_PART_BYTES = 56;

    // ---- loops ----
    /** Milliseconds between the leader's regular passes over machines and tasks. */
    public static final long TICK_MS = 250;
    /**
     * Milliseconds by which the regular loop may come late before this node counts as held up: calls to machines take a
     * second at most.
     */
    public static final long LATE_MS = 400;
    /** Milliseconds between placement passes after events: several events share one pass. */
    public static final long PASS_GAP_MS = 20;
    /**
     * Milliseconds after which everything that waits is looked through again, for tasks that had to wait for a while.
     */
    public static final long PASS_EVERY_MS = 1_000;
    /** Milliseconds between writes to the list of machines: those that come up close together share one. */
    public static final long REGISTER_GAP_MS = 200;
    /** Milliseconds between writes of progress: it holds up only the clearing of what is done. */
    public static final long PROGRESS_GAP_MS = 500;
    /** Milliseconds between looks at the cloud's machine list. */
    public static final long LIST_MS = 3_000;
    /** Milliseconds between refreshes of the machine types and their prices. */
    public static final long TYPES_MS = 60_000;
    /** Milliseconds between fleet decisions. */
    public static final long FLEET_MS = 1_000;
    /** Milliseconds between writes of a controller's Tyrex sizes. */
    public static final long SIZES_MS = 10_000;

    /** Milliseconds between log lines about the fleet as a whole. */
    public static final long SUMMARY_MS = 10_000;

    // ---- Tyrex (paper, sections IV B-D and VI A) ----
    /** Share of the machines in the first partition; 20 % and 30 % are the paper's best. */
    public static final double FIRST_SHARE = 0.30;
    /** Squared coefficient of variation above which a partition counts as unbalanced (section IV D). */
    public static final double CV2_LIMIT = 2.0;
    /**
     * Milliseconds without a change of a team's use after which arrays get what its waiting services can't use of its
     * limit: half of what a job may wait beside room.
     */
    public static final long RESERVE_MS = 45_000;
    /** Machines the first partition keeps free before it lends. */
    public static final int FIRST_KEEPS_FREE = 1;

    /**
     * Steps in which the space between two neighbouring sizes is searched for the cutoff: it can hold two sign changes.
     */
    public static final int GAP_STEPS = 32;

    // ---- fair among classes and teams ----
    /**
     * With several teams every fourth machine on which room comes free is filled by arrival alone, as in the paper:
     * strict rank would let a flood of one class starve a lower one for as long as it lasts. It costs higher ranks a
     * quarter of that room while older work of lower rank waits.
     */
    public static final int FLOOR_EVERY = 4;

    // ---- placement ----
    /** Core-seconds of lower work that may be lost to spare a service one second of fetching its image. */
    public static final double LOST_PER_FETCH_S = 20;

    /** Seconds of fetching that are worth keeping two replicas of one service apart. */
    public static final double REPLICA_APART = 5;
    /**
     * Seconds of fetching that are worth not having all services on one machine, in proportion to its share of them.
     */
    public static final double SERVICE_SPREAD = 12;

    // ---- blame ----
    /** Failures on a machine, by different jobs, after which it is taken for faulty. */
    public static final int MACHINE_ERRORS = 2;
    /**
     * Machines on which a job failed, without a success since, from which on it takes one task at a time: two may be
     * sick by chance.
     */
    public static final int JOB_ERRORS = 3;
    /** Milliseconds that a faulty machine gets no new tasks; if it empties before, it is returned. */
    public static final long QUARANTINE_MS = 90_000;
    /** Milliseconds a task waits after a failure, doubled each time its job fails, up to the maximum. */
    public static final long TASK_BACKOFF_MS = 1_000;

    public static final long TASK_BACKOFF_MAX_MS = 30_000;
    /**
     * Milliseconds beyond the longest time between two reports after which a machine is asked directly: lost packets, a
     * busy node.
     */
    public static final long PROBE_SLACK_MS = 300;
    /**
     * Share of the report interval without any word after which a machine with services, or one that left a call
     * unanswered, is asked: what runs there should start elsewhere within seconds.
     */
    public static final double PROBE_SHARE = 1 / 3.0;
    /** Milliseconds above which a machine's answer counts as slow: usual ones take tens. */
    public static final long SLOW_CALL_MS = 400;
    /** Milliseconds over which slow answers are counted. */
    public static final long SLOW_STRETCH_MS = 1_000;
    /**
     * Slow answers from which on they may be this node's own doing, and the share of all answers that they must be:
     * slow machines are few.
     */
    public static final int SLOW_CALLS = 3;

    public static final double SLOW_SHARE = 0.25;
    /**
     * Milliseconds within which a machine that saw a new token in an answer has reported again: it waits half a second
     * at most, and the way back.
     */
    public static final long REPORTS_AGAIN_MS = 1_000;
    /** Direct calls under way that are always allowed. */
    public static final int DIRECT_LEAST = 8;
    /** Milliseconds between two cuts of the number of calls under way: all that were slow together count once. */
    public static final long ADAPTIVE_WINDOW_MS = 500;
    /**
     * Share of the machines that may be returned as silent in a second, and the least number: a hundred of a thousand
     * may die at once.
     */
    public static final double RETURN_SHARE = 0.03;

    public static final double RETURNS_LEAST = 4;
    /**
     * The same share in a term's first time: what is silent then may have a full queue, or a wrong address of the
     * leader.
     */
    public static final double RETURN_SHARE_EARLY = 0.01;

    public static final long EARLY_MS = 15_000;
    /** Direct calls under way at most: bounds sockets and what the answers cost at once. */
    public static final int DIRECT_OPEN = 96;
    /**
     * Those of them at most that go to machines which left one unanswered: hundreds may hang or be cut off, and the
     * others need orders.
     */
    public static final int DIRECT_DOUBTFUL = 64;
    /** Orders in one answer or call at most: 64 KiB. */
    public static final int ORDERS_MAX = 300;
    /**
     * Milliseconds for which nearly all machines are silent until the leader gives up its lead: others may reach them,
     * and worker leases are several times as long.
     */
    public static final long CUT_OFF_MS = 3_000;
    /** Milliseconds without any word from a machine after which it is returned; two questions fit in before. */
    public static final long SILENT_MS = 3_000;
    /** Direct calls left unanswered in a row before silence counts. */
    public static final int UNANSWERED = 2;
    /** Milliseconds between direct calls to a machine that left one unanswered. */
    public static final long DIRECT_PAUSE_MS = 250;
    /**
     * Milliseconds since its last word for which a machine counts as talking: more than the time until one with
     * services is asked.
     */
    public static final long TALKING_MS = 2_000;
    /**
     * Share of machines that may leave a question open, of those and the talking ones, before silence is taken for this
     * node's own trouble: dozens that hang at once are a tenth, while a node that is cut off hears of none.
     */
    public static final double SILENT_SHARE = 0.34;
    /**
     * The same share from which on the node takes itself to be cut off, and another should lead: with a zone lost
     * others fare no better.
     */
    public static final double CUT_OFF_SHARE = 0.9;
    /**
     * Milliseconds after most machines, or most of a zone, were silent together before any of them counts as lost: they
     * come back one by one.
     */
    public static final long TROUBLE_OVER_MS = 6_000;
    /** Machines of a zone that must leave questions open before it counts as partitioned. */
    public static final int DARK_MACHINES = 3;
    /** Milliseconds after takeover before silence counts: every machine is asked at once, twice and more. */
    public static final long SILENT_GRACE_MS = 3_000;
    /** Milliseconds a machine may be listed as running without a first report. */
    public static final long NEVER_REPORTED_MS = 20_000;
    /** Multiple of the usual boot time after which a machine that never reported is returned. */
    public static final double BOOT_PATIENCE = 4.0;

    // ---- fleet ----
    /** Milliseconds an idle machine is kept; a return costs a boot later, and 60 s are charged anyway. */
    public static final long IDLE_MS = 45_000;
    /** Milliseconds an idle ordinary machine is kept: it costs two and a half times a spot one. */
    public static final long IDLE_ORDINARY_MS = 15_000;
    /** Seconds over which the mean arriving work is followed: a few jobs' worth. */
    public static final double LOAD_WINDOW_S = 120;
    /** Room kept for arrays, as a multiple of the mean arriving work, when that is known well: it swings. */
    public static final double LOAD_HEADROOM = 1.5;
    /** Jobs in the window at which the mean is half relied on: sizes vary by as much as their mean. */
    public static final double LOAD_DOUBT_JOBS = 30;
    /**
     * Arrivals that the mean promised and that didn't come, after which it no longer holds: by chance once in e^12
     * times.
     */
    public static final double MISSED_ARRIVALS = 12;
    /** Seconds of watching before a mean says anything. */
    public static final double MEAN_MIN_S = 5;
    /** Milliseconds at the first term's start whose arrivals aren't counted into the means. */
    public static final long CROWD_MS = 30_000;
    /** Multiple of the cores that arrays use or wait for beyond which room is more than needed. */
    public static final double BUSY_MARGIN = 1.1;
    /** Seconds of fetching that it costs an array at most to leave a surplus machine alone. */
    public static final double SURPLUS_S = 30;
    /** Requests for machines of arrays in one plan at most: the cloud takes a few calls a second. */
    public static final int RENTS_AT_ONCE = 4;
    /** Seconds within which work that waits should be caught up once new machines are up. */
    public static final double CATCH_UP_S = 40;
    /** The same before ordinary machines are rented for arrays that may use spot ones, which are refused. */
    public static final double CATCH_UP_ORDINARY_S = 40;
    /**
     * Multiple of the mean load, as far as it is relied on, up to which ordinary machines are rented for arrays when
     * spot ones are refused.
     */
    public static final double ORDINARY_LOAD = 1.7;
    /** Weight of the newest finished task in the ratio of run time to estimate: a few jobs of tens of tasks. */
    public static final double RUN_RATIO_WEIGHT = 0.005;
    /** Milliseconds during which a refused kind of machine isn't asked for again. */
    public static final long NO_CAPACITY_MS = 12_000;
    /** Machines in one rental request at most, from the protocol. */
    public static final int HIRE_MAX = 50;
    /** Names in one return request at most, from the protocol. */
    public static final int RETURN_MAX = 100;
    /** Cores kept for service tasks to come, per zone, at least. */
    public static final double WARM_CORES = 4.0;
    /**
     * Seconds of the mean arriving services for which room is kept: they also end, so less than a boot's worth; lower
     * work may use it.
     */
    public static final double WARM_S = 25;
    /** Seconds over which arriving services are followed: short, so that the many at a start are soon forgotten. */
    public static final double SERVICE_WINDOW_S = 60;
    /**
     * Share of the cores of services for which room is kept at least: a group of machines may be lost at once, and a
     * boot takes long.
     */
    public static final double WARM_SHARE = 0.10;
    /** Multiple of the usual boot time after which a machine that isn't up no longer counts as room to come. */
    public static final double SLOW_BOOT = 1.6;
    /**
     * Room that a zone must have too much, as a multiple of the machines that are emptied: with less they would come
     * and go.
     */
    public static final double MOVE_MARGIN = 2;
    /** Replicas that move in one plan at most, so that few are away at a time. */
    public static final int MOVES_AT_ONCE = 4;
    /**
     * Seconds of fetching that it costs a replica at most to stay off a machine that is emptied next: it decides among
     * very many machines, where shares of services differ by less, and neither against a spread over few nor for
     * stopping lower work.
     */
    public static final double EMPTIED_NEXT_S = 0.5;
    /**
     * Share of all services that fits on one machine, up to which replicas stay off those emptied next: among few
     * machines they spread.
     */
    public static final double EMPTIED_NEXT_SHARE = 0.05;
    /** Milliseconds a replica runs before it may be moved. */
    public static final long MOVE_AFTER_MS = 40_000;
    /** Records of machines that are shortened at once at most: users' writes must not wait behind them. */
    public static final int SHRINK_OPS = 3;
}
