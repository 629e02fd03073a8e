// The shape of a file that asks for a forecast. It is closed: an unknown field may be a wish
// that the operator believes to be answered.
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
