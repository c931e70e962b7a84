/** Messages between the processes of marjoramferry. One Envelope fills one frame. */
namespace cpp marjoramferry.wire

/** What a task asks of the worker it runs on. */
struct Needs {
    1: i32 cpus = 0,
    2: i32 memoryMb = 0,
    3: i32 accelerators = 0,
}

/** One task of a job. The payload is a JSON text that only the endpoint reads. */
struct Task {
    1: string taskId,
    2: string payload,
    3: bool idempotent = false,
    4: i32 expectedMs = 0,
    5: Needs needs,
}

/** A submitted job. The fingerprint tells two bodies with one id apart. */
struct Job {
    1: string jobId,
    2: string tenant,
    3: string serviceName,
    4: i32 deadlineMs = 0,
    5: list<Task> tasks,
    6: i64 fingerprint = 0,
}

enum Ran {
    NO = 0,
    YES = 1,
    UNKNOWN = 2,
}

/** What became of one task. The output is set for a complete job only. */
struct TaskResult {
    1: string taskId,
    2: Ran ran = Ran.NO,
    3: string output,
}

enum AnswerKind {
    COMPLETE = 0,
    FAILED = 1,
    /** The receiver does not own the job any more; its new owner knows what ran. */
    MOVED = 2,
    /** A lookup found no such job. */
    UNKNOWN_JOB = 3,
    /** A lookup found the job unfinished. */
    RUNNING = 4,
    /** The receiver may not take the job now; nothing of it ran there. */
    NOT_TAKEN = 5,
}

/** The answer to a job, or to a lookup of one. */
struct JobAnswer {
    1: string jobId,
    2: AnswerKind kind = AnswerKind.FAILED,
    3: i32 httpStatus = 200,
    4: string errorKind,
    5: string errorMessage,
    6: i32 retryAfterMs = 0,
    7: list<TaskResult> tasks,
}

/** Entry to owner: run this job, or join the run of the same job. */
struct SubmitJob {
    1: i64 requestId,
    2: Job job,
    /** Time left until the caller's deadline, in milliseconds. */
    3: i32 remainingMs,
}

/** Entry to owner: report on a job, and cancel what has not started if asked. */
struct LookupJob {
    1: i64 requestId,
    2: string jobId,
    3: bool cancel = false,
}

/** Owner to entry: the answer to SubmitJob or LookupJob. */
struct OwnerReply {
    1: i64 requestId,
    2: JobAnswer answer,
}

/** The epoch in which a shard is owned. */
struct ShardEpoch {
    1: i32 shard,
    2: i64 epoch,
}

/** An owner of shards: one incarnation of one entry. */
struct OwnerAddress {
    1: string name,
    2: string incarnation,
    3: string address,
}

/** What seldom changes of an agent and the endpoint beside it. */
struct AgentInfo {
    1: string incarnation,
    2: string endpoint,
    3: string serviceName,
    4: string domain,
    5: i32 slots,
    6: Needs capacity,
    7: i64 registration,
}

/** Agent to entry: who I am, what is free, and a request for evidence. */
struct Heartbeat {
    1: string agent,
    /** Set when it changed since the last message over this connection. */
    2: optional AgentInfo info,
    3: i32 freeSlots,
    /** The agent's monotonic clock at sending, in microseconds; echoed with the evidence. */
    4: i64 sentAtUs,
    5: i64 noteVersion,
    6: i64 ownershipVersion,
    7: bool leaving = false,
    /** How many starts came over this connection before. */
    8: i64 startsSeen,
    /** The agent drains and runs nothing any more. */
    9: bool finished = false,
    /** False for word of a freed slot, which asks for no reply. */
    10: bool wantsReply = true,
}

/**
 * The evidence that a version was current at echoedSentAtUs less ageUs. The age is taken when the
 * message with the echoed time came in; it is negative for evidence that is newer than that.
 */
struct Evidence {
    1: i64 echoedSentAtUs,
    2: i64 noteVersion,
    3: i64 ageUs,
}

/** Entry to agent: the answer to a heartbeat. */
struct HeartbeatReply {
    /** Set when the entry holds fresh evidence. */
    1: optional Evidence evidence,
    2: i64 noteVersion,
    /** The catalog as JSON, set when the agent holds an older one. */
    3: optional string catalog,
    4: i64 registration,
    5: i64 ownershipVersion,
    /** Set when the agent knows an older ownership map. */
    6: optional list<OwnerAddress> owners,
    /** Set with the owners: older epochs are refused from now on. */
    7: optional list<ShardEpoch> epochs,
    /** From the heartbeat that this answers. */
    8: i64 echoedSentAtUs,
}

/** Owner to agent: start these tasks of one job, each at most once. */
struct StartTasks {
    1: string jobId,
    2: list<Task> tasks,
    3: string tenant,
    4: string serviceName,
    5: i32 shard,
    6: i64 epoch,
    /** Time left until the job's deadline, in milliseconds. */
    7: i32 remainingMs,
    /** The incarnation of the agent that the owner means. */
    8: string incarnation,
    /** Grows with every message of this kind that the owner sends. */
    9: i64 sequence,
    10: optional Evidence evidence,
}

/**
 * Owner to agent: tell the state of these tasks. Those not started are refused from now on,
 * unless a StartTasks with a higher sequence asks for them.
 */
struct ResolveTasks {
    1: string jobId,
    2: list<string> taskIds,
    3: i32 shard,
    4: i64 epoch,
    5: i64 sequence,
}

enum StartState {
    /** Refused; this agent will not start the task under that epoch. */
    REFUSED = 0,
    RUNNING = 1,
    SUCCEEDED = 2,
    FAILED = 3,
    /** Handed to the endpoint; whether it ran can't be told. */
    UNCERTAIN = 4,
}

enum RefusalKind {
    NONE = 0,
    NO_SLOT = 1,
    NOT_FRESH = 2,
    WITHDRAWN = 3,
    STALE_EPOCH = 4,
    LEAVING = 5,
    LATE = 6,
    OTHER_INCARNATION = 7,
    MEMORY_FULL = 8,
}

/** Agent to owner: the state of a start. */
struct TaskReport {
    1: string jobId,
    2: string taskId,
    3: StartState state,
    4: RefusalKind refusal = RefusalKind.NONE,
    5: string output,
    6: i32 freeSlots,
    7: string agent,
    8: i32 runMs,
    /** How many starts came over this link before the report. */
    9: i64 startsSeen,
    10: bool outputDropped,
    /** The agent's monotonic clock at sending, in microseconds. */
    11: i64 sentAtUs,
}

/** Owner to agent: refuse older epochs of these shards, and tell what was started in them. */
struct Fence {
    1: i64 requestId,
    2: list<ShardEpoch> epochs,
}

/** One start that an agent remembers. */
struct StartRecord {
    1: string jobId,
    2: string taskId,
    3: StartState state,
    4: string output,
    5: bool outputDropped,
}

/** Agent to owner: the answer to Fence; every record of the fenced shards. */
struct StartRecords {
    1: i64 requestId,
    2: string agent,
    3: string incarnation,
    4: i64 registration,
    5: list<StartRecord> records,
}

/** What a run takes of its worker while it is there. */
struct Demand {
    /** In thousandths of a core. */
    1: i32 cpuMillis = 0,
    2: i32 memoryMb = 0,
    3: i32 accelerators = 0,
}

/** What seldom changes of the worker beside an agent. */
struct WorkerState {
    /** Empty while no worker has announced itself. */
    1: string worker,
    2: string serviceName,
    3: string domain,
    4: list<string> labels,
    5: Demand capacity,
    /** Of two workers said to be beside an agent the one born later is there. Unix milliseconds. */
    6: i64 bornMs = 0,
}

/** What changes with each run of the worker beside an agent. */
struct WorkerRoom {
    /** Capacity less all that runs, starts, stops, waits here or can't be told. */
    1: Demand unclaimed,
    /** Takes new runs: synchronised, answering and not about to leave. */
    2: bool takesRuns = false,
}

/** Entry to agent: have one task run, once. The entry numbers its runs. */
struct RunOrder {
    1: i64 runNumber,
    2: string jobId,
    3: i32 stepIndex,
    4: i32 taskIndex,
    /** Grows with each start of the task. */
    5: i32 attempt,
    6: string spec,
    7: Demand demand,
    /** Runs that wait for room at the agent start in ascending order of this. */
    8: i64 rank = 0,
    /** A run that could not be started within this time is given back. */
    9: i32 patienceMs = 0,
    /** The request that the run belongs to, for the logs. */
    10: string requestId,
}

/** Entry to agent: stop the run, or drop it if it waits. Its end is reported as ever. */
struct RunWithdrawal {
    1: i64 runNumber,
}

union RunInstruction {
    1: RunOrder order,
    2: RunWithdrawal withdrawal,
}

enum RunOutcome {
    DONE = 0,
    /** It failed by its own or its worker's fault. */
    FAILED = 1,
    /** It never began, and can't begin any more. */
    NOT_STARTED = 2,
    /** It may have begun and is not there any more. */
    GONE = 3,
}

/** Agent to entry: how a run ended. */
struct RunEnd {
    1: i64 runNumber,
    2: RunOutcome outcome,
    /** Why, in a word, for logs and for the choice of the next worker. */
    3: string reason,
    /** From the worker's word that it began to its word that it ended, in milliseconds. */
    4: i32 ranMs = 0,
}

/** One queue of jobs: the calls that it takes and what it promises. */
struct Route {
    1: string name,
    2: string host,
    3: string pathPrefix,
    4: string serviceName,
    5: i32 timeoutMs = 0,
    6: i32 targetLatencyMs = 0,
    /** 0 comes first. */
    7: i32 priority = 0,
    8: i32 maxAttempts = 1,
    /** How many times its own work a job may take and still be in time. */
    9: double stretch = 1.0,
}

/** All that the operators ask for, as of one version. */
struct OperatorState {
    /** Where it was read: a position in the history of changes that only grows. */
    1: i64 position = 0,
    /** The operators' own number of the configuration. 0: none is known. */
    2: i64 configurationVersion = 0,
    3: list<Route> routes,
    4: list<string> evacuatedDomains,
    5: i32 maxBodyBytes = 0,
}

/**
 * Entry to agent, over and over. Instructions are numbered from 1 in each session; those from
 * firstSequence on are in here. What was said before is repeated until it is acknowledged.
 */
struct EntryBatch {
    1: string entry,
    2: string incarnation,
    /** Grows when the entry has given up all it asked of this agent. */
    3: i64 session = 0,
    /** The agent that is meant. */
    4: string agentIncarnation,
    /** The newest sentAtUs that the entry has had from the agent: proof of how old this batch can be. */
    5: i64 echoedUs = 0,
    6: i64 firstSequence = 0,
    7: i64 acknowledged = 0,
    8: list<RunInstruction> instructions,
    9: i64 operatorPosition = 0,
    10: optional OperatorState operatorState,
    /** Addresses of the entries that this one knows, when they changed. */
    11: list<string> entries,
    /** The entry can't reach the store of the operators' word and asks the agent to read it. */
    12: bool wantsOperatorState = false,
    /** The entry stops and takes no more work. */
    13: bool leaving = false,
}

/** Agent to entry, over and over; numbered like EntryBatch. */
struct AgentBatch {
    1: string agent,
    2: string incarnation,
    /** The entry and session that the numbers belong to; empty and 0 before the first EntryBatch. */
    3: string entryIncarnation,
    4: i64 session = 0,
    /** The agent's monotonic clock at sending, in microseconds. */
    5: i64 sentAtUs = 0,
    6: i64 firstSequence = 0,
    7: i64 acknowledged = 0,
    8: list<RunEnd> ends,
    /** Set when it changed since the last message over this connection. */
    9: optional WorkerState worker,
    10: i64 operatorPosition = 0,
    11: optional OperatorState operatorState,
    /** All runs of earlier incarnations of the agent are gone from its worker. */
    12: bool cleared = false,
    13: bool leaving = false,
    14: WorkerRoom room,
}

/** Exactly one field is set. */
union Envelope {
    1: SubmitJob submitJob,
    2: LookupJob lookupJob,
    3: OwnerReply ownerReply,
    4: Heartbeat heartbeat,
    5: HeartbeatReply heartbeatReply,
    6: StartTasks startTasks,
    7: TaskReport taskReport,
    8: Fence fence,
    9: StartRecords startRecords,
    10: ResolveTasks resolveTasks,
    11: EntryBatch entryBatch,
    12: AgentBatch agentBatch,
}
