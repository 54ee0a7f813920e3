package kqsettings

import (
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Settings holds all settings of one node. The field tags are: key, the name
	// in the file; default, the value if the file sets none; required, whether it
	// must be set; unit; min and max, the bounds; one_of, the allowed words; and
	// doc, the description.
	Settings struct {
		Node     Node     `section:"node"`
		Platform Platform `section:"platform"`
		Member   Member   `section:"member"`
		Config   Config   `section:"config"`
		Call     Call     `section:"call"`
		Admin    Admin    `section:"admin"`
		TLS      TLS      `section:"tls"`
		Log      Log      `section:"log"`
	}

	// Node holds the node's identity, addresses, resource limits and shutdown
	// times.
	Node struct {
		Name           kqname.Node    `key:"name" required:"true" doc:"Unique name of this node."`
		Domain         kqname.Domain  `key:"domain" required:"true" doc:"Failure domain of this server."`
		Region         kqname.Region  `key:"region" default:"default" doc:"Region of this server."`
		Service        kqname.Service `key:"service" doc:"Service of the upstream on this server; its configuration is always held."`
		LinkMbits      float64        `key:"link" default:"0" min:"0" max:"1000000" doc:"Bandwidth of this server's link in Mbit/s; 0 states none. Those with the widest links read the platform's service for the others."`
		CoreShare      float64        `key:"cores" default:"0" min:"0" max:"1024" doc:"Share of cores that this node may use; 0 states none."`
		EntryListen    kqname.Address `key:"entry_listen" default:"127.0.0.1:8080" doc:"Where callers from outside connect."`
		LocalListen    kqname.Address `key:"local_listen" default:"127.0.0.1:8081" doc:"Where the local upstream announces itself and makes calls; loopback only."`
		GateListen     kqname.Address `key:"gate_listen" default:"127.0.0.1:8082" doc:"Where other nodes send calls for the local upstream."`
		GateAddress    kqname.Address `key:"gate_address" doc:"Address of gate_listen as other nodes reach it; empty takes gate_listen."`
		ControlListen  kqname.Address `key:"control_listen" default:"127.0.0.1:8083" doc:"Where other nodes exchange configuration and membership."`
		ControlAddress kqname.Address `key:"control_address" doc:"Address of control_listen as other nodes reach it; empty takes control_listen."`
		ReadyListen    kqname.Address `key:"ready_listen" doc:"Where whoever places callers asks whether the node is ready; empty leaves it out."`
		ReadyPath      string         `key:"ready_path" default:"/ready" doc:"Path that ready_listen answers: 200 while ready, else 503."`
		Memory         int            `key:"memory" default:"0" min:"0" max:"1024GB" unit:"bytes" doc:"Memory that the process may hold; 0 states none."`
		Descriptors    int            `key:"descriptors" default:"0" min:"0" max:"10000000" doc:"Descriptors that the process may have open; 0 takes the limit that the system sets. Clients' connections may take eight tenths of them."`
		KillAfter      time.Duration  `key:"kill_after" default:"0s" min:"0s" max:"1h" doc:"How long after the signal to stop the process is killed; 0s never. It bounds drain_timeout."`
		DrainTimeout   time.Duration  `key:"drain_timeout" default:"30s" min:"1s" max:"10m" doc:"Longest wait for calls in flight at shutdown."`
	}

	// Platform configures access to the platform's key-value service.
	Platform struct {
		Adapter string        `key:"adapter" doc:"Name of the adapter for a platform that speaks its own forms; empty speaks ours."`
		URL     string        `key:"url" default:"http://127.0.0.1:7070" doc:"Base URL of the platform's key-value service."`
		Timeout time.Duration `key:"timeout" default:"2s" min:"10ms" max:"1m" doc:"Longest wait for one answer; a watch's own wait is added."`
	}

	// Member configures membership, announcements of upstreams, and the budgets
	// for control traffic and configuration memory.
	Member struct {
		Seeds            []string      `key:"seeds" doc:"Control addresses of nodes to ask at the start, parted by commas."`
		Heartbeat        time.Duration `key:"heartbeat" default:"1s" min:"10ms" max:"1m" doc:"Time between two heartbeats to a peer."`
		UpstreamTTL      time.Duration `key:"upstream_ttl" default:"3s" min:"100ms" max:"1m" doc:"How long an upstream's announcement lasts unless renewed."`
		AnnounceInterval time.Duration `key:"announce_interval" default:"1500ms" min:"10ms" max:"1m" doc:"About how often an upstream announces itself. One that a restarted node knows only from before must do so within one and a half times that."`
		SendBudget       int           `key:"send_budget" default:"16KB" min:"1KB" max:"64MB" unit:"bytes" doc:"Control bytes that the node may send a second, over half a minute; bulk waits beyond it."`
		MemoryBudget     int           `key:"memory_budget" default:"64MB" min:"1MB" max:"16GB" unit:"bytes" doc:"Bytes of configuration that the node may hold; hosts that were used least go beyond it."`
	}

	// Config configures the distribution of configuration to the node.
	Config struct {
		Strategy      string        `key:"strategy" default:"overlay" one_of:"overlay,direct" doc:"How new versions reach the node: overlay takes them from peers, direct watches the platform and takes the whole document."`
		InterestIdle  time.Duration `key:"interest_idle" default:"30m" min:"1s" max:"24h" doc:"How long the routes of a host stay without a call for it."`
		Prefetch      bool          `key:"prefetch" default:"true" doc:"Whether a starting node takes over the hosts that peers of its service hold."`
		StartSpread   time.Duration `key:"start_spread" default:"1s" min:"0s" max:"1m" doc:"Starting nodes put off their first call to the platform by up to that long."`
		PlatformRate  int           `key:"platform_rate" default:"1000" min:"10" max:"100000" doc:"Objects that all nodes together may read from the platform a second."`
		ExpectedNodes int           `key:"expected_nodes" default:"550" min:"1" max:"100000" doc:"Size of the fleet that a node assumes until it knows better."`
	}

	// Call configures limits and policies for the calls that the node serves.
	Call struct {
		ReadTimeout    time.Duration `key:"read_timeout" default:"10s" min:"50ms" max:"10m" doc:"Longest time that a call may take to arrive whole."`
		WriteTimeout   time.Duration `key:"write_timeout" default:"10s" min:"50ms" max:"10m" doc:"Longest time for which a caller may leave a response unread; its connection is then closed."`
		MaxBody        int           `key:"max_body" default:"4MB" min:"1KB" max:"64MB" unit:"bytes" doc:"Largest request body that is taken."`
		BodyMemory     int           `key:"body_memory" default:"0" min:"0" max:"16GB" unit:"bytes" doc:"Bytes of request bodies over 64 KB that are held at once, and half as many of smaller ones beside them, further ones are refused; 0 takes a quarter of [node] memory, or 256MB where it states none."`
		RepeatRatio    float64       `key:"repeat_ratio" default:"0" min:"0" max:"1" doc:"Sendings beyond the first that all nodes together may add to a service's calls, as a part of them; 0 keeps to this program's own budget."`
		RepeatSlack    float64       `key:"repeat_slack" default:"0" min:"0" max:"1000000" doc:"How many may be added beside repeat_ratio in any window of some seconds."`
		ColdRateFactor float64       `key:"cold_rate_factor" default:"1" min:"1" max:"100" doc:"By what factor the calls in any second may exceed the rate that a service states for its cold upstreams."`
		ColdRateExtra  float64       `key:"cold_rate_extra" default:"0" min:"0" max:"1000000" doc:"How many calls more than that a cold upstream may get in any second."`
		Quarantine     bool          `key:"quarantine" default:"true" doc:"Whether requests under which three upstreams ended are refused by all nodes."`
		QuarantineFor  time.Duration `key:"quarantine_for" default:"10m" min:"1s" max:"24h" doc:"How long such a request is remembered after its last upstream ended or it last came."`
		SlotMode       string        `key:"slots" default:"learnt" one_of:"learnt,exact" doc:"Whether upstreams may run fewer calls at once than they announce, which is then learnt from their latency, or run exactly as many."`
		Policy         string        `key:"policy" default:"kumquatgw" one_of:"kumquatgw,baseline" doc:"Decisions under load; baseline (first-come queue, random choice, plain retries) is for comparison only."`
	}

	// Admin configures the admin server and operators' access to it.
	Admin struct {
		Listen kqname.Address `key:"listen" doc:"Where the console, the API and the metrics are served; empty switches them off."`
		Tokens string         `key:"tokens" doc:"File of operators' hashed tokens, one a line as kumquatgw keys token prints them; read again when it changes. Empty lets nobody use the console and the API."`
	}

	// TLS configures mutual authentication of nodes. Without the three files TLS
	// is off; the gate, control and admin servers must then listen on loopback
	// addresses or in a trusted network.
	TLS struct {
		CA             string        `key:"ca" doc:"PEM file with the certificate of the fleet's CA; read again when it changes."`
		Certificate    string        `key:"certificate" doc:"PEM file with this node's certificate, which names it; read again when it changes."`
		Key            string        `key:"key" doc:"PEM file with the certificate's private key; read again when it changes."`
		TrustedNetwork bool          `key:"trusted_network" default:"false" doc:"Whether the network between servers is trusted, so that nodes may listen beyond loopback without TLS."`
		ReloadEvery    time.Duration `key:"reload_every" default:"2s" min:"10ms" max:"10m" doc:"Time between two looks at the files of [tls] and at the tokens."`
	}

	// Log configures the node's log.
	Log struct {
		Level       string `key:"level" default:"info" one_of:"debug,info,warning,error" doc:"Least severe level that is logged."`
		SampleEvery int    `key:"sample" default:"64" min:"0" max:"1000000" doc:"One in that many calls that went well has lines, chosen by its id; 0 leaves out all."`
		PerReason   int    `key:"per_reason" default:"20" min:"0" max:"100000" doc:"Lines a second that a node writes for each reason of a refusal, retry or failure; the rest is counted."`
		Format      string `key:"format" default:"text" one_of:"text,json" doc:"Form of a log line."`
	}
)
