// The schema of a forecast scenario. It is closed, so that unknown fields are rejected: ignoring one
// would let the operator believe that the forecast takes it into account.
#Scenario: {
	"horizon-s"?: >0 & <=86400
	surges: [#Surge, ...#Surge]
	families?: [...#Family]
	without?: [...#Without]
}

#Name: string & !=""

#Surge: {
	name:         #Name
	"start-s"?:   >=0 & <=86400
	"duration-s": >0 & <=86400
	traffic: [#Traffic, ...#Traffic]
}

#Traffic: {
	route:            #Name
	rate?:            >=0 & <=10000000
	factor?:          >=1 & <=10000
	items?:           int & >=1 & <=100000000
	"due-s"?:         >0 & <=86400
	"prompt-tokens"?: int & >=0 & <=100000000
	"fresh-tokens"?:  int & >=0 & <=100000000
	events?:          int & >=1 & <=1000000
}

#Family: {
	name: #Name
	models?: [#Name, ...#Name]
	services?: [#Name, ...#Name]
}

#Without: {
	zone?:    #Name
	service?: #Name
	workers?: int & >=1 & <=1000000
}
