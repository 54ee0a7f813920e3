package kqnodes

import (
	"fmt"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	services         = 89
	routesPerService = 22
	team             = kqname.Team("lab")
)

// Document returns a document of 89 services and 1,958 routes on 89 hosts. The routes
// of each host lead to its own service, except two that lead to two other services.
// Each number gives a different version: one service and the first route of its host
// have timeouts that depend on the number.
func Document(number int) kqdocument.Document {
	d := kqdocument.Document{
		Teams:    []kqdocument.Team{{Name: team}},
		Policies: []kqdocument.Policy{{Name: "careful", Prefer: kqdocument.PreferTakingBack}},
	}
	for i := range services {
		d.Services = append(d.Services, kqdocument.Service{Name: service(i), Team: team, Version: "v1", TimeoutMS: 1000})
		for j := range routesPerService {
			target := i
			if j > routesPerService-3 {
				target = i + j
			}
			d.Routes = append(d.Routes, kqdocument.Route{
				Name: kqname.Route(fmt.Sprintf("%s-%02d", service(i), j)), Team: team, Host: host(i),
				PathPrefix: fmt.Sprintf("/area-%02d/", j), Service: service(target), TimeoutMS: 500,
			})
		}
	}
	changed := number % services
	d.Services[changed].TimeoutMS += 1 + number
	d.Routes[changed*routesPerService].TimeoutMS += 1 + number
	return d
}

func service(i int) kqname.Service { return kqname.Service(fmt.Sprintf("service-%02d", i%services)) }

func host(i int) kqname.Host { return kqname.Host(fmt.Sprintf("host-%02d.example", i%services)) }
