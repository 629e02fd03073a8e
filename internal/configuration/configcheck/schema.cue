// The schema of a configuration. Unknown fields are accepted: operators may use fields
// of a newer version of this program.
#Configuration: {
	generation: int & >0
	channels: [...#Channel]
	backends: [...#Backend]
	limits: #Limits
	...
}

#Channel: {
	name:                  string & !=""
	host:                  string & !=""
	"path-prefix":         =~"^/(.*/)?$"
	"route-kind":          "idempotent" | "effectful" | "streaming" | "bulk"
	"cutoff-ms"?:          number & >0
	"setpoint-ms"?:        number & >=0
	"result-setpoint-ms"?: number & >0
	"retain-s"?:           number & >0
	"backlog-cap"?:        int & >=0
	"gap-setpoint-ms"?:    number & >=0
	priority?:             int & >=0
	tries?:                int & >0
	affine?:               bool
	resumable?:            bool
	backend?:              string
	weighted?: [...{
		backend: string
		share:   number & >=0
		...
	}]
	...
}

#Backend: {
	name:          string & !=""
	probe?:        string
	"conn-limit"?: int & >0
	...
}

#Limits: {
	"max-header-bytes"?: int & >0
	"max-body-bytes"?:   int & >0
	"header-wait-ms"?:   number & >0
	"idle-ms"?:          number & >0
	...
}
