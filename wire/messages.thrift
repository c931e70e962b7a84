/** Messages between the processes of marjoramferry. Each frame holds one Envelope. */
namespace cpp marjoramferry.wire

/** Resources that a task requires of its worker. */
struct Needs {
    1: i32 cpus = 0,
    2: i32 memoryMb = 0,
    3: i32 accelerators = 0,
}

/** One task of a job. The payload is JSON text that only the endpoint interprets. */
struct Task {
    1: string taskId,
    2: string payload,
    3: bool idempotent = false,
    4: i32 expectedMs = 0,
    5: Needs needs,
}

/** A submitted job. The fingerprint is a hash of the body; it detects the reuse of an id for another body. */
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

/** Result of one task. The output is set only if the job is complete. */
struct TaskResult {
    1: string taskId,
    2: Ran ran = Ran.NO,
    3: string output,
}

enum AnswerKind {
    COMPLETE = 0,
    FAILED = 1,
    /** The receiver no longer owns the job; its new owner knows which tasks ran. */
    MOVED = 2,
    /** The job of a lookup is unknown. */
    UNKNOWN_JOB = 3,
    /** The job of a lookup has not finished yet. */
    RUNNING = 4,
    /** The receiver can't accept the job now; none of its tasks ran there. */
    NOT_TAKEN = 5,
}

/** Answer to a submitted job or to a lookup. */
struct JobAnswer {
    1: string jobId,
    2: AnswerKind kind = AnswerKind.FAILED,
    3: i32 httpStatus = 200,
    4: string errorKind,
    5: string errorMessage,
    6: i32 retryAfterMs = 0,
    7: list<TaskResult> tasks,
}

/** Entry to owner: run this job, or wait for its result if it is running already. */
struct SubmitJob {
    1: i64 requestId,
    2: Job job,
    /** Time left until the caller's deadline, in milliseconds. */
    3: i32 remainingMs,
}

/** Entry to owner: return the state of a job and, with cancel, drop its tasks that have not started. */
struct LookupJob {
    1: i64 requestId,
    2: string jobId,
    3: bool cancel = false,
}

/** Owner to entry: answer to SubmitJob or LookupJob. */
struct OwnerReply {
    1: i64 requestId,
    2: JobAnswer answer,
}

/** The current epoch of a shard. It is incremented with every change of owner. */
struct ShardEpoch {
    1: i32 shard,
    2: i64 epoch,
}

/** An owner of shards: one incarnation of an entry. */
struct OwnerAddress {
    1: string name,
    2: string incarnation,
    3: string address,
}

/** Rarely changing state of an agent and its endpoint. */
struct AgentInfo {
    1: string incarnation,
    2: string endpoint,
    3: string serviceName,
    4: string domain,
    5: i32 slots,
    6: Needs capacity,
    7: i64 registration,
}

/** Agent to entry: reports the agent's state and requests evidence. */
struct Heartbeat {
    1: string agent,
    /** Set if it changed since the last message on this connection. */
    2: optional AgentInfo info,
    3: i32 freeSlots,
    /** The agent's monotonic clock at sending, in microseconds; echoed with the evidence. */
    4: i64 sentAtUs,
    5: i64 noteVersion,
    6: i64 ownershipVersion,
    7: bool leaving = false,
    /** Number of starts received on this connection before this message. */
    8: i64 startsSeen,
    /** The agent is draining and runs no tasks. */
    9: bool finished = false,
    /** False in a heartbeat that only announces a freed slot. */
    10: bool wantsReply = true,
}

/**
 * Evidence that a note version was current at echoedSentAtUs minus ageUs. The age is relative to
 * the receipt of the echoed message; it is negative if the evidence is newer than that.
 */
struct Evidence {
    1: i64 echoedSentAtUs,
    2: i64 noteVersion,
    3: i64 ageUs,
}

/** Entry to agent: answer to a heartbeat. */
struct HeartbeatReply {
    /** Set if the entry has fresh evidence. */
    1: optional Evidence evidence,
    2: i64 noteVersion,
    /** The catalog as JSON, set if the agent has an older one. */
    3: optional string catalog,
    4: i64 registration,
    5: i64 ownershipVersion,
    /** Set if the agent has an older ownership map. */
    6: optional list<OwnerAddress> owners,
    /** Set together with owners. The agent refuses older epochs from now on. */
    7: optional list<ShardEpoch> epochs,
    /** sentAtUs of the heartbeat that this answers. */
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
    /** The agent incarnation that the message is for. */
    8: string incarnation,
    /** Increases with every StartTasks message of the owner. */
    9: i64 sequence,
    10: optional Evidence evidence,
}

/**
 * Owner to agent: report the state of these tasks. Those not started are refused from now on,
 * unless requested by a StartTasks with a higher sequence.
 */
struct ResolveTasks {
    1: string jobId,
    2: list<string> taskIds,
    3: i32 shard,
    4: i64 epoch,
    5: i64 sequence,
}

enum StartState {
    /** Not started here, and refused for this request and all earlier ones. */
    REFUSED = 0,
    RUNNING = 1,
    SUCCEEDED = 2,
    FAILED = 3,
    /** Sent to the endpoint; whether it ran is unknown. */
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

/** Agent to owner: state of a started or refused task. */
struct TaskReport {
    1: string jobId,
    2: string taskId,
    3: StartState state,
    4: RefusalKind refusal = RefusalKind.NONE,
    5: string output,
    6: i32 freeSlots,
    7: string agent,
    8: i32 runMs,
    /** Number of starts received on this connection before this message. */
    9: i64 startsSeen,
    10: bool outputDropped,
    /** The agent's monotonic clock at sending, in microseconds. */
    11: i64 sentAtUs,
}

/** Owner to agent: refuse older epochs of these shards and return the records of all starts in them. */
struct Fence {
    1: i64 requestId,
    2: list<ShardEpoch> epochs,
}

/** An agent's record of one started task. */
struct StartRecord {
    1: string jobId,
    2: string taskId,
    3: StartState state,
    4: string output,
    5: bool outputDropped,
}

/** Agent to owner: answer to Fence, with all records of the fenced shards. */
struct StartRecords {
    1: i64 requestId,
    2: string agent,
    3: string incarnation,
    4: i64 registration,
    5: list<StartRecord> records,
}

/** Worker resources that a run occupies. */
struct Demand {
    /** In thousandths of a core. */
    1: i32 cpuMillis = 0,
    2: i32 memoryMb = 0,
    3: i32 accelerators = 0,
}

/** Rarely changing state of the worker of an agent. */
struct WorkerState {
    /** Name of the worker; empty while none has announced itself. */
    1: string worker,
    2: string serviceName,
    3: string domain,
    4: list<string> labels,
    5: Demand capacity,
    /** When the worker was created, in Unix milliseconds. If two are reported for one agent, the later one is valid. */
    6: i64 bornMs = 0,
}

/** Processor capacity that runs are expected to release by a time. */
struct CapacityStep {
    /** Time from the report, in milliseconds. */
    1: i32 inMs = 0,
    /** Released since the previous step, in thousandths of a core. */
    2: i32 cpuMillis = 0,
}

/** Current load of the worker of an agent. */
struct WorkerRoom {
    /** Capacity minus the demand of all runs that are waiting, starting, running, stopping or in an unknown state. */
    1: Demand unclaimed,
    /** Accepts new runs: it is synchronized, responds and is not about to leave. */
    2: bool takesRuns = false,
    /** Processor capacity that runs are expected to release, by ascending time; at most 4 steps. Empty in this version. */
    3: list<CapacityStep> forecast,
}

/** Entry to agent: run one task once. The entry assigns the run numbers. */
struct RunOrder {
    1: i64 runNumber,
    2: string jobId,
    3: i32 stepIndex,
    4: i32 taskIndex,
    /** Increases with each start of the task. */
    5: i32 attempt,
    6: string spec,
    7: Demand demand,
    /** Runs that wait for resources at the agent start in ascending order of rank. */
    8: i64 rank = 0,
    /** A run that can't be started within this time ends as NOT_STARTED. In milliseconds. */
    9: i32 patienceMs = 0,
    /** The request that the run belongs to; for logs. */
    10: string requestId,
    /** The queue of the job, named again in reports of crashes. */
    11: string queue,
    /** The worker whose state the entry placed the run by, as in WorkerState; empty in orders of older entries. */
    12: string worker,
    13: i64 workerBornMs = 0,
}

/** What waits at an entry for a worker of one service. */
struct WaitingWork {
    /** Rank of the most urgent job, as in RunOrder: time until its latest start, in milliseconds. */
    1: i64 rank = 0,
    /** Of one task of that job. */
    2: Demand demand,
    /** Waiting tasks of jobs that can still be in time. */
    3: i32 tasks = 0,
}

/** Entry to agent: stop the run, or drop it if it is waiting. Its end is reported as usual. */
struct RunWithdrawal {
    1: i64 runNumber,
}

union RunInstruction {
    1: RunOrder order,
    2: RunWithdrawal withdrawal,
}

enum RunOutcome {
    DONE = 0,
    /** The task or its worker failed. */
    FAILED = 1,
    /** It did not start and never will. */
    NOT_STARTED = 2,
    /** It may have started and no longer exists. */
    GONE = 3,
}

/** Agent to entry: how a run ended. */
struct RunEnd {
    1: i64 runNumber,
    2: RunOutcome outcome,
    /** Short reason, for logs and for the selection of the next worker. */
    3: string reason,
    /** Time between the worker's reports of the start and of the end, in milliseconds. */
    4: i32 ranMs = 0,
}

/** A run that was on a worker when the worker crashed. */
struct CrashedRun {
    1: string jobId,
    2: i32 stepIndex,
    3: i32 taskIndex,
    4: string queue,
    /** Time from its start to the crash, in milliseconds. */
    5: i32 ageMs = 0,
}

/** How sure an agent is that its worker crashed. */
enum CrashStatus {
    /** The worker restarted, was replaced, or neither answered nor accepted connections for a while. */
    DETECTED = 0,
    /** It refused a connection, and no call has been sent to it since. */
    SUSPECTED = 1,
    /** The same process has answered since. The report has no runs. */
    RETRACTED = 2,
}

/** Agent to all entries: its worker crashed while runs were on it. A later report of the same process replaces it. */
struct WorkerCrash {
    1: string worker,
    /** Start time of the crashed process in Unix milliseconds. */
    2: i64 bornMs = 0,
    /** Time since the crash, in milliseconds. */
    3: i32 agoMs = 0,
    4: list<CrashedRun> runs,
    /** Older agents report each crash as detected. */
    5: CrashStatus status = CrashStatus.DETECTED,
}

/** One queue of jobs: the requests that match it, and its service level. */
struct Route {
    1: string name,
    2: string host,
    3: string pathPrefix,
    4: string serviceName,
    5: i32 timeoutMs = 0,
    6: i32 targetLatencyMs = 0,
    /** 0 is the highest priority. */
    7: i32 priority = 0,
    8: i32 maxAttempts = 1,
    /** Multiple of its own run time that a job may take and still meet its latency objective. */
    9: double stretch = 1.0,
}

/** The complete operator configuration as of one version. */
struct OperatorState {
    /** Position in the change history at which it was read. It only increases. */
    1: i64 position = 0,
    /** Version number that operators gave the configuration. 0 if none is known. */
    2: i64 configurationVersion = 0,
    3: list<Route> routes,
    4: list<string> evacuatedDomains,
    5: i32 maxBodyBytes = 0,
}

/**
 * Entry to agent, sent repeatedly. Instructions are numbered from 1 in each session; the first one
 * in this batch has the number firstSequence. Instructions are repeated until acknowledged.
 */
struct EntryBatch {
    1: string entry,
    2: string incarnation,
    /** Increases when the entry abandons all runs that it ordered from this agent. */
    3: i64 session = 0,
    /** The agent incarnation that the batch is for. */
    4: string agentIncarnation,
    /** Newest sentAtUs received from the agent; it bounds the age of this batch. */
    5: i64 echoedUs = 0,
    6: i64 firstSequence = 0,
    7: i64 acknowledged = 0,
    8: list<RunInstruction> instructions,
    9: i64 operatorPosition = 0,
    10: optional OperatorState operatorState,
    /** Addresses of the entries that this one knows, if they changed. */
    11: list<string> entries,
    /** The entry can't reach the store of the operator configuration and asks the agent to read it. */
    12: bool wantsOperatorState = false,
    /** The entry is stopping and accepts no more work. */
    13: bool leaving = false,
    /** The entry has no runs at the agent, and orders none before a batch without this. The agent reports seldom. */
    14: bool standby = false,
    /** Set if tasks wait that the worker of the agent could run. */
    15: optional WaitingWork waiting,
    /** Highest fence that other incarnations of the agent have reported; 0 if none is known. */
    16: i64 fence = 0,
}

/** Agent to entry, sent repeatedly; numbered like EntryBatch. */
struct AgentBatch {
    1: string agent,
    2: string incarnation,
    /** The entry and session that the sequence numbers belong to; empty and 0 before the first EntryBatch. */
    3: string entryIncarnation,
    4: i64 session = 0,
    /** The agent's monotonic clock at sending, in microseconds. */
    5: i64 sentAtUs = 0,
    6: i64 firstSequence = 0,
    7: i64 acknowledged = 0,
    8: list<RunEnd> ends,
    /** Set if it changed since the last message on this connection. */
    9: optional WorkerState worker,
    10: i64 operatorPosition = 0,
    11: optional OperatorState operatorState,
    /** The worker holds no more runs of earlier incarnations of the agent. */
    12: bool cleared = false,
    13: bool leaving = false,
    14: WorkerRoom room,
    /** Number of entries that the agent is connected to. */
    15: i32 connectedEntries = 0,
    /** The agent asks for the entry's operator state, which is newer than its own, on behalf of another entry. */
    16: bool wantsOperatorState = false,
    /** Crashes of the worker that were not sent over this connection yet. */
    17: list<WorkerCrash> crashes,
    /** Of the agent's calls to its worker; 0 if not reported. */
    18: i64 fence = 0,
    /** The worker lists a run that this incarnation of the agent has not started. */
    19: bool hasUnknownRuns = false,
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
