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
	// Fields names what the line carries besides its number and its process.
	Fields []string
	// Advice tells an operator what to do.
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
		102, logrus.InfoLevel, "process stopping: no new work is taken",
		[]string{"role"},
		"Nothing; requests in flight are finished first.",
	}
	ProcessStopped = Event{
		103, logrus.InfoLevel, "process stopped",
		[]string{"role", "cut"},
		"If cut is not zero, the drain time was too short for the requests that were still running.",
	}
	CatalogInForce = Event{
		201, logrus.InfoLevel, "catalog revision in force",
		[]string{"revision", "source"},
		"Nothing.",
	}
	CatalogUnreadable = Event{
		202, logrus.WarnLevel, "catalog could not be read; the last revision stays in force",
		[]string{"revision", "error"},
		"Check the key-value service; serving goes on.",
	}
	CatalogPublished = Event{
		203, logrus.InfoLevel, "catalog change handled",
		[]string{"change", "status", "revision"},
		"Nothing.",
	}
	LeaseChanged = Event{
		301, logrus.InfoLevel, "controller lease changed",
		[]string{"power", "term"},
		"Power 'fenced' for long means that the key-value service is out of reach.",
	}
	OrderAnswered = Event{
		302, logrus.InfoLevel, "order answered",
		[]string{"runner", "order", "verb", "item", "result", "reason"},
		"Result 'unknown' is resolved by itself; if it repeats, check the runner and the network to it.",
	}
	UnitShort = Event{
		303, logrus.WarnLevel, "a model or version finds no room",
		[]string{"unit", "reason"},
		"Add memory, loosen its placement, or remove another model.",
	}
	IntentsFailed = Event{
		304, logrus.WarnLevel, "intents could not be stored; a runner without fencing gets no loads",
		[]string{"runner", "error"},
		"Check the key-value service.",
	}
	PeerUnreachable = Event{
		401, logrus.WarnLevel, "a peer does not answer",
		[]string{"peer", "error"},
		"Check the peer's VM and the network to it.",
	}
	RunnerChanged = Event{
		402, logrus.InfoLevel, "a runner's reachability changed",
		[]string{"runner", "reachable", "leaving", "error"},
		"Check the runner when it stays out of reach.",
	}
	ControlLost = Event{
		403, logrus.WarnLevel, "no control answers; serving goes on from the last snapshot",
		[]string{"error"},
		"Restart control on this VM.",
	}
	RequestFailed = Event{
		501, logrus.WarnLevel, "a request failed",
		[]string{"request", "name", "outcome", "status", "error"},
		"See the outcome; 'unknown' on a non-idempotent call needs a look by its owner.",
	}
	StreamResumed = Event{
		502, logrus.InfoLevel, "a broken stream was resumed",
		[]string{"request", "name", "from", "to", "tokens"},
		"Check the runner that broke.",
	}
	ConfigurationInForce = Event{
		204, logrus.InfoLevel, "configuration in force",
		[]string{"version", "revision", "routes"},
		"Nothing.",
	}
	ConfigurationUnreadable = Event{
		205, logrus.ErrorLevel, "configuration cannot be read; the last one stays in force",
		[]string{"revision", "error"},
		"Check what the operator wrote at this revision.",
	}
	StoreLost = Event{
		404, logrus.WarnLevel, "the store does not answer; serving goes on with what is known",
		[]string{"error"},
		"Check the store and the network to it.",
	}
	StoreBack = Event{
		405, logrus.InfoLevel, "the store answers again",
		[]string{"revision"},
		"Nothing.",
	}
	RunnerListed = Event{
		406, logrus.InfoLevel, "a runner's entry changed",
		[]string{"runner", "change", "service", "revision"},
		"Nothing.",
	}
	RunnerUnreadable = Event{
		407, logrus.WarnLevel, "a runner's entry cannot be read and names no runner",
		[]string{"runner", "revision", "error"},
		"Check who writes entries.",
	}
	NoRoute = Event{
		503, logrus.InfoLevel, "no route for a request",
		[]string{"request", "host", "path", "version"},
		"Check the configuration of this version.",
	}
	NoEndpoint = Event{
		504, logrus.InfoLevel, "no endpoint for a request",
		[]string{"request", "reason", "runners", "listAgeMs"},
		"Check what the service's runners hold.",
	}
	EndpointFailed = Event{
		505, logrus.WarnLevel, "a call to an endpoint failed",
		[]string{"request", "runner", "sent", "error"},
		"Check the runner if it repeats.",
	}
	EndpointDeclined = Event{
		506, logrus.InfoLevel, "an endpoint declined a request",
		[]string{"request", "runner", "status", "unit"},
		"Nothing; the request goes elsewhere within its budget.",
	}
	TurnedAway = Event{
		509, logrus.InfoLevel, "a request was turned away, since it would be served too late",
		[]string{"request", "reason", "runner", "predictedMs", "duty", "retryAfterMs"},
		"If it repeats for a model, it needs more copies than its service has room for.",
	}
	Quarantined = Event{
		511, logrus.WarnLevel, "a request was refused, since it has crashed several endpoints",
		[]string{"request", "print", "waitMs"},
		"Find its caller by the request's id.",
	}
	RegistrationFailed = Event{
		408, logrus.WarnLevel, "the VM's key could not be written; it is tried again",
		[]string{"error"},
		"Check the store and the network to it.",
	}
	MemberChanged = Event{
		409, logrus.InfoLevel, "a VM joined or left",
		[]string{"vm", "change", "revision"},
		"Nothing.",
	}
	OwnerChanged = Event{
		305, logrus.InfoLevel, "the owner of a runner changes",
		[]string{"runner", "change", "revision", "waitMs"},
		"Nothing.",
	}
	LoadPlace = Event{
		306, logrus.InfoLevel, "no place among the loads from the weight store; it is tried again",
		[]string{"service", "places", "error"},
		"Nothing; the rate of loads is at its bound.",
	}
	ReportFailed = Event{
		307, logrus.WarnLevel, "a runner's report could not be read",
		[]string{"runner", "error"},
		"Check the runner if it repeats.",
	}
	RunnerReported = Event{
		308, logrus.InfoLevel, "a runner's report changed what is known of it",
		[]string{"runner", "sequence", "busy", "models"},
		"Nothing.",
	}
	OrderGiven = Event{
		309, logrus.InfoLevel, "order given to a runner",
		[]string{"runner", "verb", "unit", "result", "expected", "fence", "ms", "error"},
		"Result 'unknown' is resolved by the runner's next report.",
	}
	MovePlanned = Event{
		310, logrus.InfoLevel, "a move of models is planned",
		[]string{"runner", "load", "unload", "demand"},
		"Nothing.",
	}
	MoveTaken = Event{
		311, logrus.InfoLevel, "the owner of a runner takes a planned move",
		[]string{"runner", "load", "unload"},
		"Nothing.",
	}
	AdapterAsked = Event{
		312, logrus.InfoLevel, "the owner of a runner was asked for an adapter",
		[]string{"request", "runner", "unit", "owner", "held", "reason", "ms"},
		"Check the owner if the reason repeats.",
	}
	PlanState = Event{
		313, logrus.InfoLevel, "demand for the busiest models in runners, and their copies",
		[]string{"service", "models"},
		"A model whose demand nears its copies answers late.",
	}
	RefusedStopping = Event{
		508, logrus.InfoLevel, "a request was refused by a process that is about to stop",
		[]string{"request"},
		"Nothing; the caller comes back to another VM.",
	}
	SettingsReloaded = Event{
		104, logrus.InfoLevel, "settings read again",
		[]string{"changed", "error"},
		"If there is an error, the earlier settings stay in force.",
	}
	RequestServed = Event{
		507, logrus.InfoLevel, "request served",
		[]string{
			"request", "route", "unit", "outcome", "status", "reason", "runner", "runs", "ms", "predictedMs", "beforeMs", "firstMs", "version",
		},
		"See docs/OPERATIONS.md.",
	}
	RequestNotServed = Event{
		510, logrus.WarnLevel, "request not served",
		[]string{
			"request", "route", "unit", "outcome", "status", "reason", "runner", "runs", "ms", "predictedMs", "beforeMs", "firstMs", "version",
		},
		"See docs/OPERATIONS.md.",
	}
	LinesOmitted = Event{
		105, logrus.WarnLevel, "lines of the log were left out, since there were too many",
		[]string{"lines"},
		"The counters on the metrics address count everything.",
	}
)

// routine are the events of requests and orders that went well, which are the first to be left out under load.
var routine = []int{503, 506, 507, 308, 309, 312}

// Routine reports whether an event tells of something that went well.
func (e Event) Routine() bool { return slices.Contains(routine, e.Number) }

// Catalogue lists every event by number.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, ProcessStopping, ProcessStopped,
		CatalogInForce, CatalogUnreadable, CatalogPublished, ConfigurationInForce, ConfigurationUnreadable,
		LeaseChanged, OrderAnswered, UnitShort, IntentsFailed,
		PeerUnreachable, RunnerChanged, ControlLost, StoreLost, StoreBack, RunnerListed, RunnerUnreadable,
		RequestFailed, StreamResumed, NoRoute, NoEndpoint, EndpointFailed, EndpointDeclined, RequestServed, RequestNotServed, LinesOmitted,
		RefusedStopping, TurnedAway, Quarantined, SettingsReloaded, RegistrationFailed, MemberChanged, OwnerChanged, LoadPlace,
		ReportFailed, RunnerReported, OrderGiven, MovePlanned, MoveTaken, AdapterAsked, PlanState,
	}
}
