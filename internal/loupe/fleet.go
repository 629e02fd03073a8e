package loupe

import (
	"sort"
	"strings"
	"sync"

	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
)

// process is one of the fleet, as a row of the query nodes names it.
type process struct {
	key, role, hall, address string
}

func processesOf(status *pattern.Status) (found []process) {
	for _, row := range status.Rows {
		if role, _, named := strings.Cut(row[0], "/"); named && len(row) > 2 {
			found = append(found, process{row[0], role, row[1], row[2]})
		}
	}
	return found
}

// fleet gives every process: most know a part of the fleet only, foremen know all. One
// is asked for the halls, and then for the processes of each hall, since an answer is
// bounded. What the seed knows is used where no foreman answers.
func (loupe *Loupe) fleet(seen *pattern.Status) []process {
	found := map[string]process{}
	for _, one := range processesOf(seen) {
		found[one.key] = one
	}
	for _, one := range processesOf(seen) {
		halls := &pattern.Status{}
		if one.role != "foreman" || loupe.put(one.address, &pattern.StatusAsk{Query: "halls"}, halls) != nil {
			continue
		}
		whole := true
		for _, row := range halls.Rows {
			part := &pattern.Status{}
			if loupe.put(one.address, &pattern.StatusAsk{Query: "nodes", Hall: row[0]}, part) != nil {
				whole = false
				break
			}
			for _, other := range processesOf(part) {
				found[other.key] = other
			}
		}
		if whole && len(halls.Rows) > 0 {
			break
		}
	}
	var all []process
	for _, one := range found {
		all = append(all, one)
	}
	sort.Slice(all, func(left, right int) bool { return all[left].key < all[right].key })
	return all
}

func (loupe *Loupe) put(address string, question *pattern.StatusAsk, answer *pattern.Status) error {
	return tongs.Ask(loupe.Transport, address, pattern.KindStatus, question, answer, loupe.Limit)
}

// askHalls puts a query to the processes of the roles, one hall after the other, so
// that a large fleet does not answer all at once.
func (loupe *Loupe) askHalls(fleet []process, query string, roles []string) []Answer {
	var answers []Answer
	halls, places := map[string][]int{}, []string{}
	addresses := []string{}
	for _, one := range fleet {
		for _, role := range roles {
			if one.role != role {
				continue
			}
			if halls[one.hall] == nil {
				places = append(places, one.hall)
			}
			halls[one.hall] = append(halls[one.hall], len(answers))
			answers, addresses = append(answers, Answer{Process: one.key}), append(addresses, one.address)
		}
	}
	sort.Strings(places)
	for _, hall := range places {
		var group sync.WaitGroup
		for _, place := range halls[hall] {
			group.Add(1)
			go func() {
				defer group.Done()
				one := &answers[place]
				one.Silent = loupe.put(addresses[place], &pattern.StatusAsk{Query: query}, &one.Status) != nil
			}()
		}
		group.Wait()
	}
	return answers
}
