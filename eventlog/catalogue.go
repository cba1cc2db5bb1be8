package eventlog

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	Number int
	Level  logrus.Level
	Text   string
	// Fields holds the keys of the event's own fields, in the order in which Emit expects their values.
	Fields []string
	// Advice states what an operator should do.
	Advice string
}

// The events, numbered by area: 1xx processes, 2xx catalog, 3xx lease and orders, 4xx membership, 5xx requests.
var (
	ProcessStarted = Event{
		101, logrus.InfoLevel, "process started",
		[]string{"role", "address", "operations"},
		"Nothing.",
	}
	ProcessStopping = Event{
		102, logrus.InfoLevel, "process stopping; no new work is accepted",
		[]string{"role"},
		"Nothing; requests in flight finish first.",
	}
	ProcessStopped = Event{
		103, logrus.InfoLevel, "process stopped",
		[]string{"role", "cut"},
		"If cut is not zero, the drain time was too short for the requests that were still running.",
	}
	CatalogApplied = Event{
		201, logrus.InfoLevel, "catalog revision applied",
		[]string{"revision", "source"},
		"Nothing.",
	}
	CatalogUnreadable = Event{
		202, logrus.WarnLevel, "catalog could not be read; the previous revision remains active",
		[]string{"revision", "error"},
		"Check the key-value service; requests are still served.",
	}
	CatalogChangeProcessed = Event{
		203, logrus.InfoLevel, "catalog change processed",
		[]string{"change", "status", "revision"},
		"Nothing.",
	}
	LeaseChanged = Event{
		301, logrus.InfoLevel, "controller lease changed",
		[]string{"power", "term"},
		"If power stays 'fenced', the key-value service is unreachable.",
	}
	OrderAnswered = Event{
		302, logrus.InfoLevel, "order answered",
		[]string{"runner", "order", "verb", "item", "result", "reason"},
		"Result 'unknown' resolves itself; if it recurs, check the runner and the network to it.",
	}
	UnitWithoutCapacity = Event{
		303, logrus.WarnLevel, "a model or version does not fit on any runner",
		[]string{"unit", "reason"},
		"Add memory, relax its placement rules, or remove another model.",
	}
	IntentsNotStored = Event{
		304, logrus.WarnLevel, "intents of a runner could not be stored; a runner without fencing gets no loads until they are",
		[]string{"runner", "error"},
		"Check the key-value service.",
	}
	PeerUnreachable = Event{
		401, logrus.WarnLevel, "peer unreachable",
		[]string{"peer", "error"},
		"Check the peer's VM and the network to it.",
	}
	RunnerReachabilityChanged = Event{
		402, logrus.InfoLevel, "reachability of a runner changed",
		[]string{"runner", "reachable", "leaving", "error"},
		"Check the runner if it stays unreachable.",
	}
	ControlUnreachable = Event{
		403, logrus.WarnLevel, "no control is reachable; requests are served from the last snapshot",
		[]string{"error"},
		"Restart control on this VM.",
	}
	RequestFailed = Event{
		501, logrus.WarnLevel, "request failed",
		[]string{"request", "name", "outcome", "status", "error"},
		"See the outcome; the owner of a non-idempotent call with outcome 'unknown' must check whether it ran.",
	}
	StreamResumed = Event{
		502, logrus.InfoLevel, "aborted stream resumed",
		[]string{"request", "name", "from", "to", "tokens"},
		"Check the runner that aborted the stream.",
	}
	ConfigurationApplied = Event{
		204, logrus.InfoLevel, "configuration applied",
		[]string{"version", "revision", "routes"},
		"Nothing.",
	}
	ConfigurationUnreadable = Event{
		205, logrus.ErrorLevel, "configuration could not be read; the previous one remains active",
		[]string{"revision", "error"},
		"Check the configuration that was written at this revision.",
	}
	StoreUnreachable = Event{
		404, logrus.WarnLevel, "store unreachable; requests are served from the last known state",
		[]string{"error"},
		"Check the store and the network to it.",
	}
	StoreReachable = Event{
		405, logrus.InfoLevel, "store reachable again",
		[]string{"revision"},
		"Nothing.",
	}
	RunnerEntryChanged = Event{
		406, logrus.InfoLevel, "entry of a runner changed",
		[]string{"runner", "change", "service", "software", "revision"},
		"Nothing.",
	}
	RunnerEntryUnreadable = Event{
		407, logrus.WarnLevel, "entry of a runner could not be read; the entry is ignored",
		[]string{"runner", "revision", "error"},
		"Check the process that writes the entry.",
	}
	NoRoute = Event{
		503, logrus.InfoLevel, "no route for request",
		[]string{"request", "host", "path", "version"},
		"Check the configuration of this version.",
	}
	NoEndpoint = Event{
		504, logrus.InfoLevel, "no endpoint for request",
		[]string{"request", "reason", "runners", "listAgeMs"},
		"Check which models the runners of the service hold.",
	}
	EndpointFailed = Event{
		505, logrus.WarnLevel, "call to endpoint failed",
		[]string{"request", "runner", "sent", "error"},
		"Check the runner if it recurs.",
	}
	EndpointDeclined = Event{
		506, logrus.InfoLevel, "endpoint declined request",
		[]string{"request", "runner", "status", "unit", "named", "stated", "reused", "connection", "sends", "sinceSendMs"},
		"Nothing; the request is retried within its budget, on another runner unless this one had no room.",
	}
	RequestRejected = Event{
		509, logrus.InfoLevel, "request rejected: it would be served too late",
		[]string{"request", "reason", "runner", "predictedMs", "duty", "retryAfterMs"},
		"If it recurs for a model, the model needs more replicas than the runners of its service have room for.",
	}
	RequestQuarantined = Event{
		511, logrus.WarnLevel, "request refused: it is quarantined, because it crashed several endpoints",
		[]string{"request", "print", "waitMs"},
		"Find its caller by the request id.",
	}
	EndpointEnded = Event{
		512, logrus.InfoLevel, "endpoint ended the connection during a request; the request may have crashed it",
		[]string{"request", "print", "caller", "target", "parts", "runner", "sinceSendMs", "early", "crashes", "error"},
		"Lines with the same print belong to one request and its retries. If several runners end under it, find its caller.",
	}
	CrashRecordDropped = Event{
		513, logrus.InfoLevel, "crashes recorded for a request dropped: an endpoint completed it",
		[]string{"request", "print", "runner"},
		"Nothing.",
	}
	QuarantineStarted = Event{
		514, logrus.WarnLevel, "request quarantined: several endpoints ended while they ran it",
		[]string{"print", "score", "runners", "source"},
		"Find its caller by the lines of event 512 with the same print.",
	}
	QuarantineNotStored = Event{
		515, logrus.WarnLevel, "quarantine could not be written to the store; the write is retried",
		[]string{"print", "error"},
		"Check the store; until then a quarantine does not outlast a restart of all VMs.",
	}
	PartRefused = Event{
		517, logrus.WarnLevel, "request refused: a part of its prompt is quarantined, because it crashed several endpoints",
		[]string{"request", "part", "waitMs"},
		"Find out what the part holds; requests without it are served.",
	}
	PartQuarantined = Event{
		518, logrus.WarnLevel, "part of prompts quarantined: several endpoints ended under requests with it",
		[]string{"part", "crashes", "runners", "source"},
		"Find the callers by the lines of event 512 with the same part.",
	}
	LimitChanged = Event{
		519, logrus.InfoLevel, "a runner's answer changes the known limit of requests a second to it",
		[]string{"request", "runner", "limit", "before"},
		"Find out what the runner lacks. Until it names no limit, requests beyond it go to other runners or are refused.",
	}
	PermitNotAnswered = Event{
		520, logrus.WarnLevel, "no permit for a request to a runner that has named a limit: the aggregator did not answer",
		[]string{"request", "runner", "error"},
		"Check the aggregator and the network to it if it recurs.",
	}
	StreamContinued = Event{
		521, logrus.InfoLevel, "a stream goes on at another runner",
		[]string{"request", "from", "fromSoftware", "to", "toSoftware", "after"},
		"Check the runner from which it goes on.",
	}
	StreamTakenUp = Event{
		522, logrus.InfoLevel, "a caller takes up a stream that broke off",
		[]string{"request", "resumes", "after", "software", "source"},
		"Find out by the lines of the attempt that it resumes why it broke off.",
	}
	OriginsNotStored = Event{
		523, logrus.WarnLevel, "origins of streams could not be stored; the write is retried for two seconds",
		[]string{"streams", "error"},
		"Check the store. Callers can take up these streams at this VM only, unless one software version alone is in service.",
	}
	OriginUnconfirmed = Event{
		524, logrus.InfoLevel, "report of a runner does not confirm which software began a stream; the stream cannot go on elsewhere",
		[]string{"request", "runner", "software", "error"},
		"Check the runner if it recurs.",
	}
	QuarantineUnreadable = Event{
		516, logrus.WarnLevel, "stored quarantine could not be read; it is ignored",
		[]string{"print", "revision", "error"},
		"Check which version of the program wrote the key.",
	}
	RegistrationFailed = Event{
		408, logrus.WarnLevel, "membership key of the VM could not be written; the write is retried",
		[]string{"error"},
		"Check the store and the network to it.",
	}
	MemberChanged = Event{
		409, logrus.InfoLevel, "VM joined or left",
		[]string{"vm", "change", "revision"},
		"Nothing.",
	}
	StoreReturned = Event{
		410, logrus.WarnLevel, "store returned from an older copy; its content is listed anew",
		[]string{"known", "revision", "knownAgeMs"},
		"Nothing; each VM writes again what it had written. Orders to some runners pause for eleven seconds.",
	}
	ViewUnreadable = Event{
		412, logrus.WarnLevel, "forwarded view could not be read; this VM reads the store itself",
		[]string{"revision", "error"},
		"Check that all VMs run the same version of the program.",
	}
	ContentOld = Event{
		415, logrus.WarnLevel, "known content of the store is old; requests may go to endpoints that have left",
		[]string{"ageMs", "aggregator", "viewAgeMs", "storeCallMs", "reportAgeMs"},
		"See docs/OPERATIONS.md.",
	}
	ContentRecent = Event{
		416, logrus.InfoLevel, "known content of the store is recent again",
		[]string{"oldestMs", "ageMs"},
		"Nothing.",
	}
	ContentReceived = Event{
		414, logrus.InfoLevel, "this VM has no configuration and takes the store's content from another VM",
		[]string{"revision", "ageMs"},
		"Check why this VM cannot read the store.",
	}
	EntryIgnored = Event{
		413, logrus.WarnLevel, "entry in the store is too large; it is ignored",
		[]string{"key", "revision", "bytes"},
		"Find out which program wrote the key.",
	}
	EraNotMarked = Event{
		411, logrus.WarnLevel, "settled era of the store could not be read or written; the write is retried",
		[]string{"era", "error"},
		"Check the store. Until then a VM that starts waits eleven seconds before it orders runners.",
	}
	OwnerChanged = Event{
		305, logrus.InfoLevel, "owner of a runner changes",
		[]string{"runner", "change", "revision", "waitMs", "source"},
		"Nothing. The revision of a claim is the fence of the orders that it allows (309), which begin after waitMs.",
	}
	LoadPermitUnavailable = Event{
		306, logrus.InfoLevel, "no load permit for the weight store; the load is retried",
		[]string{"service", "places", "error"},
		"Nothing if it is rare, since another VM may take the same permit first. If it recurs, check the store.",
	}
	RunnerReportUnreadable = Event{
		307, logrus.WarnLevel, "report of a runner could not be read",
		[]string{"runner", "error"},
		"Check the runner if it recurs.",
	}
	RunnerReportApplied = Event{
		308, logrus.InfoLevel, "report of a runner changed its recorded state",
		[]string{"runner", "sequence", "busy", "models"},
		"Nothing.",
	}
	OrderSent = Event{
		309, logrus.InfoLevel, "order sent to a runner",
		[]string{"runner", "verb", "unit", "result", "expected", "fence", "ms", "error"},
		"Result 'unknown' is resolved by the next report of the runner.",
	}
	MovePlanned = Event{
		310, logrus.InfoLevel, "model move planned",
		[]string{"runner", "load", "unload", "demand"},
		"Nothing.",
	}
	MoveAccepted = Event{
		311, logrus.InfoLevel, "planned model move accepted by the owner of the runner",
		[]string{"runner", "load", "unload"},
		"Nothing.",
	}
	AdapterRequested = Event{
		312, logrus.InfoLevel, "adapter requested from the owner of a runner",
		[]string{"request", "runner", "unit", "owner", "held", "reason", "ms"},
		"Check the owner if the reason recurs.",
	}
	DemandSummary = Event{
		313, logrus.InfoLevel, "demand for the busiest models (in runners) and their replicas",
		[]string{"service", "models"},
		"A model responds late when its demand approaches the number of its replicas.",
	}
	RequestRefusedStopping = Event{
		508, logrus.InfoLevel, "request refused: the process is stopping",
		[]string{"request"},
		"Nothing; the caller retries on another VM.",
	}
	VersionNotRecorded = Event{
		527, logrus.WarnLevel, "version of a service's software could not be recorded in the store; the write is retried",
		[]string{"service", "software", "error"},
		"Check the store. Until then no resumable stream begins at runners of this version, if there are others.",
	}
	RunnerLeaves = Event{
		525, logrus.InfoLevel, "a runner says in its answers that it leaves; it gets no new requests",
		[]string{"request", "runner", "incarnation"},
		"Nothing.",
	}
	RunnerRests = Event{
		526, logrus.InfoLevel, "a runner turned a request away and asks for a rest; this VM sends it nothing until then",
		[]string{"request", "runner", "restMs"},
		"Check the runner's load if it recurs.",
	}
	PathChanged = Event{
		528, logrus.WarnLevel, "this VM lost its path to the runners, or has it back; without it other VMs serve its callers",
		[]string{"lost", "checked", "lostMs"},
		"Check the network between this VM and the runners.",
	}
	RequestForwarded = Event{
		529, logrus.InfoLevel, "request forwarded to another VM",
		[]string{"request", "peer", "outcome", "ms", "error"},
		"See event 528 of this VM.",
	}
	AnswerUnproven = Event{
		532, logrus.WarnLevel, "answer has the status of a refusal but does not say that this request has not run, or says so with another status",
		[]string{"request", "runner", "status", "named", "stated", "reused", "connection"},
		"Check the runner, and whatever stands before it: the request may have run.",
	}
	ForwardDeclined = Event{
		530, logrus.InfoLevel, "request that another VM forwarded was not taken; that VM asks others",
		[]string{"request", "reason"},
		"Nothing.",
	}
	BrittleChanged = Event{
		531, logrus.InfoLevel, "a runner says that it falls over if it turns more requests a second away than this, or does so no more",
		[]string{"request", "runner", "perSecond"},
		"Check the load of the service.",
	}
	WorkspaceNotUsed = Event{
		533, logrus.WarnLevel, "a workspace of the configuration, or a key of it, is not used",
		[]string{"version", "index", "workspace", "reason"},
		"Correct the entry, which the index counts from 0. The other workspaces are not affected.",
	}
	WorkspaceKeyShared = Event{
		534, logrus.WarnLevel, "two workspaces have the same key; the first in the list keeps it",
		[]string{"version", "index", "workspace", "holder"},
		"Give one of the two another key.",
	}
	WorkspaceLimitNotUsed = Event{
		535, logrus.WarnLevel, "the limit of a workspace cannot be used; the workspace has none",
		[]string{"version", "index", "workspace"},
		"Correct the numbers of the entry, which must be finite and not negative.",
	}
	RequestUnauthorized = Event{
		536, logrus.InfoLevel, "request without a valid key; it was answered with status 401",
		[]string{"request", "route", "caller", "reason"},
		"Nothing, unless the callers of a workspace complain; then compare the version of event 204 at this VM.",
	}
	ForwardUnauthorized = Event{
		537, logrus.WarnLevel, "request that another VM forwarded names no workspace and has no valid key; it was not sent",
		[]string{"request", "route", "caller", "reason"},
		"The other VM runs an earlier build or has an earlier configuration, and does not check keys. Update it.",
	}
	CapacityChanged = Event{
		550, logrus.InfoLevel, "the time that a runner takes for work, relative to the other runners of its service, is judged anew",
		[]string{"runner", "prefill", "decode", "plain", "prefillWeight", "decodeWeight", "plainWeight", "agreement"},
		"Nothing, if the runners are of several kinds. Otherwise check the runner's machine.",
	}
	SettingsReloaded = Event{
		104, logrus.InfoLevel, "settings reloaded",
		[]string{"changed", "error"},
		"If there is an error, the previous settings remain active.",
	}
	AllowanceExceeded = Event{
		538, logrus.InfoLevel, "request refused: its workspace has used up its allowance over all VMs",
		[]string{"request", "workspace", "cost", "level", "perSecond", "burst", "rule", "retryAfterMs"},
		"Nothing, if the workspace asks for more than agreed. See docs/OPERATIONS.md.",
	}
	AllowanceSummaryLost = Event{
		539, logrus.WarnLevel, "this VM does not know what the other VMs spend for workspaces, or knows it again; until then it admits its equal share",
		[]string{"lost", "ageMs", "members"},
		"Check the aggregator and the network to it.",
	}
	AllowanceBoundExceeded = Event{
		540, logrus.WarnLevel, "all VMs together have sent more for a workspace than its allowance permits",
		[]string{"workspace", "spent", "perSecond", "burst"},
		"Look for VMs that were cut off (event 539), and for a burst within the time of two reports.",
	}
	AllowancesTruncated = Event{
		541, logrus.WarnLevel, "too many workspaces for the exchange; those that spend least get equal shares, or all are exchanged again",
		[]string{"truncated", "workspaces"},
		"Nothing, unless small workspaces are refused (event 538).",
	}
	RequestServed = Event{
		507, logrus.InfoLevel, "request served",
		[]string{
			"request", "route", "unit", "outcome", "status", "reason", "runner", "runs", "ms", "predictedMs", "beforeMs", "firstMs", "pauseMs", "version",
			"workspace", "listAgeMs",
		},
		"See docs/OPERATIONS.md.",
	}
	RequestNotServed = Event{
		510, logrus.WarnLevel, "request not served",
		[]string{
			"request", "route", "unit", "outcome", "status", "reason", "runner", "runs", "ms", "predictedMs", "beforeMs", "firstMs", "pauseMs", "version",
			"workspace", "listAgeMs",
		},
		"See docs/OPERATIONS.md.",
	}
	HandlerPanicked = Event{
		106, logrus.ErrorLevel, "the handling of a request or of a peer's call panicked; only that one is ended",
		[]string{"error", "stack"},
		"Report the fault with the stack.",
	}
	QueueFull = Event{
		542, logrus.WarnLevel, "request refused: the queue of this VM is full, and all others that wait come before it",
		[]string{"request", "waiting", "bytes", "retryAfterMs"},
		"Check the load. The queue is bounded by a part of the VM's memory.",
	}
	RunnerSeemsCrashed = Event{
		543, logrus.InfoLevel, "connections of several other VMs to a runner failed; it gets requests only as a last choice for now",
		[]string{"runner", "incarnation", "vms", "ageMs"},
		"Check the runner, unless its entry changes.",
	}
	LogLinesDropped = Event{
		105, logrus.WarnLevel, "log lines dropped: rate limit exceeded or output too slow",
		[]string{"lines"},
		"Nothing is missing from the counters on the metrics address.",
	}
)

// routine holds the numbers of events of normal operation, which are dropped first under load.
var routine = []int{503, 506, 507, 308, 309, 312, 529, 530, 536, 538}

// Routine reports whether an event belongs to normal operation and counts against the budget for routine lines.
func (e Event) Routine() bool { return slices.Contains(routine, e.Number) }

// Catalogue returns every event, in the order of the page docs/EVENTS.md.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, ProcessStopping, ProcessStopped,
		CatalogApplied, CatalogUnreadable, CatalogChangeProcessed, ConfigurationApplied, ConfigurationUnreadable,
		LeaseChanged, OrderAnswered, UnitWithoutCapacity, IntentsNotStored,
		PeerUnreachable, RunnerReachabilityChanged, ControlUnreachable, StoreUnreachable, StoreReachable,
		RunnerEntryChanged, RunnerEntryUnreadable,
		RequestFailed, StreamResumed, NoRoute, NoEndpoint, EndpointFailed, EndpointDeclined,
		RequestServed, RequestNotServed, LogLinesDropped, HandlerPanicked,
		RequestRefusedStopping, RequestRejected, RequestQuarantined, EndpointEnded,
		CrashRecordDropped, QuarantineStarted, QuarantineNotStored, QuarantineUnreadable, PartRefused, PartQuarantined, LimitChanged, PermitNotAnswered, StreamContinued, StreamTakenUp, OriginsNotStored, OriginUnconfirmed, RunnerLeaves, RunnerRests, VersionNotRecorded, SettingsReloaded, RegistrationFailed, MemberChanged, StoreReturned, EraNotMarked, ViewUnreadable, EntryIgnored, ContentOld, ContentRecent, ContentReceived,
		WorkspaceNotUsed, WorkspaceKeyShared, WorkspaceLimitNotUsed, RequestUnauthorized, ForwardUnauthorized,
		BrittleChanged, CapacityChanged, PathChanged, RequestForwarded, ForwardDeclined, AnswerUnproven, QueueFull, RunnerSeemsCrashed,
		AllowanceExceeded, AllowanceSummaryLost, AllowanceBoundExceeded, AllowancesTruncated,
		OwnerChanged, LoadPermitUnavailable, RunnerReportUnreadable, RunnerReportApplied, OrderSent, MovePlanned, MoveAccepted,
		AdapterRequested, DemandSummary,
	}
}
