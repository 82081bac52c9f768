package parser

// Document describes one environment: its regions and VMs, services, models, ranks and rules.
type Document struct {
	Environment    Environment     `toml:"environment"`
	Network        Network         `toml:"network"`
	Regions        []Region        `toml:"regions"`
	VMs            []VM            `toml:"vms"`
	Ranks          []Rank          `toml:"ranks"`
	Models         []Model         `toml:"models"`
	Pools          []Pool          `toml:"pools"`
	Services       []Service       `toml:"services"`
	Organisations  []Organisation  `toml:"organisations"`
	ResidencyRules []ResidencyRule `toml:"residency-rules"`
}

// Environment holds the name, stage and version of the document.
type Environment struct {
	Name    string `toml:"name"`
	Stage   Stage  `toml:"stage"`
	Version uint64 `toml:"version"`
}

// Stage is the promotion stage of a document.
type Stage string

// Stages of a document, in promotion order.
const (
	StageTrial      Stage = "trial"
	StageProduction Stage = "production"
)

// Network holds the one-way delays and the shared link rate that routing uses as costs.
type Network struct {
	ZoneDelay      Duration `toml:"zone-delay"`
	RegionDelay    Duration `toml:"region-delay"`
	CallerDelay    Duration `toml:"caller-delay"`
	RegionLinkMbit uint64   `toml:"region-link-mbit"`
}

// Region is a group of availability zones.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// VM is an entry VM and the addresses of its processes.
type VM struct {
	Name              string  `toml:"name"`
	Zone              string  `toml:"zone"`
	CallerAddress     Address `toml:"caller-address"`
	InternalAddress   Address `toml:"internal-address"`
	RPCAddress        Address `toml:"rpc-address"`
	AdminAddress      Address `toml:"admin-address"`
	ControllerAddress Address `toml:"controller-address"`
	Voter             bool    `toml:"voter"`
}

// HasController reports whether a controller runs on the VM.
func (v VM) HasController() bool {
	return v.ControllerAddress.IsValid()
}

// Rank is a priority class; ranks are listed from most to least urgent.
type Rank struct {
	Name                string   `toml:"name"`
	FirstTokenTarget    Duration `toml:"first-token-target"`
	TokenIntervalTarget Duration `toml:"token-interval-target"`
	Objective           float64  `toml:"objective"`
	GuaranteedShare     float64  `toml:"guaranteed-share"`
	QueueLimit          int      `toml:"queue-limit"`
	MaxWait             Duration `toml:"max-wait"`
}

// Model is a model that pools can serve.
type Model struct {
	Name      string   `toml:"name"`
	ColdStart Duration `toml:"cold-start"`
}

// PoolKind is the kind of the upstreams of a pool.
type PoolKind string

// Kinds of upstream pools.
const (
	PoolEngine PoolKind = "engine"
	PoolPlain  PoolKind = "plain"
)

// Pool is a group of upstreams with the same properties.
type Pool struct {
	Name                   string   `toml:"name"`
	Kind                   PoolKind `toml:"kind"`
	Zones                  []string `toml:"zones"`
	Models                 []string `toml:"models"`
	BatchLimit             int      `toml:"batch-limit"`
	ChecksFencingTokens    bool     `toml:"checks-fencing-numbers"`
	HonoursIdempotencyKeys bool     `toml:"honours-idempotency-keys"`
	ResumesStreams         bool     `toml:"resumes-streams"`
	MinimumPerZone         int      `toml:"minimum-per-zone"`
	// UpstreamTokensPerSecond is the generation rate of one upstream. Without it, the pool is not scaled up ahead of
	// load peaks.
	UpstreamTokensPerSecond float64 `toml:"upstream-tokens-per-second"`
}

// Service is the target of calls: the models of an engine pool, or a plain service.
type Service struct {
	Name        string      `toml:"name"`
	Pool        string      `toml:"pool"`
	DefaultRank string      `toml:"default-rank"`
	Timeout     Duration    `toml:"timeout"`
	Operations  []Operation `toml:"operations"`
}

// Operation declares whether calls of a plain service with one method and path may be retried.
type Operation struct {
	Method     string `toml:"method"`
	Path       string `toml:"path"`
	Idempotent bool   `toml:"idempotent"`
}

// Organisation is a group of callers that share a key and a fair share of capacity.
type Organisation struct {
	Name      string  `toml:"name"`
	KeyDigest string  `toml:"key-digest"`
	HomeZone  string  `toml:"home-zone"`
	Weight    float64 `toml:"weight"`
}

// ResidencyRule restricts requests of organisations or services to regions or availability zones.
type ResidencyRule struct {
	Name          string   `toml:"name"`
	Organisations []string `toml:"organisations"`
	Services      []string `toml:"services"`
	Regions       []string `toml:"regions"`
	Zones         []string `toml:"zones"`
}
