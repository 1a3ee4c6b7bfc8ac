package stand

// Host, paths and key of the manifest.
const (
	Host      = "a.example"
	BookPath  = "/book/"  // Not idempotent.
	LookPath  = "/look/"  // Idempotent.
	DraftPath = "/draft/" // Streams that may be resumed.
	Key       = "k1abcdefghijklmnopqr"
	Tenant    = "north"
)

// Services of the manifest.
const (
	Desk = "desk"
	Crew = "crew"
)

// EngineKind is the accelerator of engines; one holds all layers.
const EngineKind = "h200"

// Manifest is a manifest like those of the pages: a plain service and one of engines.
const Manifest = `{"version":7,"routes":[
{"name":"r-draft","host":"a.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"priority":1,"service":"crew","maxAttempts":2,"anonymous":false,"sticky":true,"resumable":true,"gapTargetMs":200},
{"name":"r-book","host":"a.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"anonymous":false,"sticky":false,"resumable":false},
{"name":"r-look","host":"a.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"anonymous":false,"sticky":false,"resumable":false}],
"services":[
{"name":"crew","healthPath":"/healthz","maxConnections":1138,"protocol":"h1","tls":false,"runtime":{"slots":192,"kvCapacityTokens":100000,"kvBytes":590000,"linkMbps":480000.0,"stride":2,"modelList":[{"name":"m","pace":1.0,"loadS":14.0,"warmupS":1.0}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":6,"delays":[],"usual":{"prompt":772,"answer":172},"layers":80,"layerMb":1750.0,"actBytes":29500,"pipeMbps":9000.0,"kinds":[{"name":"h200","sizeMb":200000.0,"pace":1.4,"readFactor":1.0}]}},
{"name":"desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"north","apiKeys":["k1abcdefghijklmnopqr"],"priority":1}]}`
