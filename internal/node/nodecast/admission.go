package nodecast

import (
	"slices"

	"github.com/pkg/errors"

	"sapphirehead/internal/admission"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
)

func encodeAdmission(pools []admission.Sums) []*nodepb.AdmissionSums {
	forms := make([]*nodepb.AdmissionSums, 0, len(pools))
	for _, sums := range pools {
		form := &nodepb.AdmissionSums{}
		form.SetPool(sums.Pool())
		form.SetBegunCost(sums.Begun())
		form.SetOverloaded(sums.Overloaded())
		encodeRanks(form, sums.Ranks())
		encodeClasses(form, sums.Classes())
		forms = append(forms, form)
	}
	return forms
}

func encodeRanks(form *nodepb.AdmissionSums, sums []admission.RankSums) {
	var ranks []int32
	var waiting, waited, begun, late, turnedAway, targets []int64
	for _, rank := range sums {
		ranks, waiting, begun = append(ranks, int32(rank.Rank())), append(waiting, rank.Waiting()), append(begun, rank.Begun())
		late, turnedAway = append(late, rank.Late()), append(turnedAway, rank.TurnedAway())
		waited, targets = append(waited, int64(rank.Waited())), append(targets, int64(rank.Target()))
	}
	form.SetRanks(ranks)
	form.SetWaiting(waiting)
	form.SetWaitedMillis(waited)
	form.SetBegun(begun)
	form.SetLate(late)
	form.SetTurnedAway(turnedAway)
	form.SetTargetMillis(targets)
}

// encodeClasses writes the sums of classes, which are in order of account.
func encodeClasses(form *nodepb.AdmissionSums, sums []admission.ClassSums) {
	var names []string
	var accounts, ranks []int32
	var offered, returned, admitted []int64
	for _, class := range sums {
		if name := class.Class().Account(); len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
		accounts, ranks = append(accounts, int32(len(names)-1)), append(ranks, int32(class.Class().Rank()))
		offered, returned = append(offered, class.Offered()), append(returned, class.Returned())
		admitted = append(admitted, class.Admitted())
	}
	form.SetAccounts(names)
	form.SetClassAccounts(accounts)
	form.SetClassRanks(ranks)
	form.SetOffered(offered)
	form.SetReturned(returned)
	form.SetAdmitted(admitted)
}

func decodeAdmission(forms []*nodepb.AdmissionSums) ([]admission.Sums, error) {
	var pools []admission.Sums
	for _, form := range forms {
		if !hasMatchingAdmission(form) {
			return nil, errors.New("decode bulletin: lists of admissions that belong together differ in length")
		}
		var ranks []admission.RankSums
		for i, rank := range form.GetRanks() {
			ranks = append(ranks, admission.NewRankSums(int(rank), form.GetWaiting()[i], clock.Millis(form.GetWaitedMillis()[i]), form.GetBegun()[i], form.GetLate()[i],
				form.GetTurnedAway()[i], clock.Millis(form.GetTargetMillis()[i])))
		}
		var classes []admission.ClassSums
		for i, rank := range form.GetClassRanks() {
			class := admission.NewClass(form.GetAccounts()[form.GetClassAccounts()[i]], int(rank))
			classes = append(classes, admission.NewClassSums(class, form.GetOffered()[i], form.GetReturned()[i], form.GetAdmitted()[i]))
		}
		sums := admission.NewSums(form.GetPool(), form.GetBegunCost(), ranks, classes)
		if form.GetOverloaded() {
			sums = sums.WithOverload()
		}
		pools = append(pools, sums)
	}
	return pools, nil
}

func hasMatchingAdmission(form *nodepb.AdmissionSums) bool {
	ranks, classes := len(form.GetRanks()), len(form.GetClassRanks())
	return len(form.GetWaiting()) == ranks && len(form.GetWaitedMillis()) == ranks && len(form.GetBegun()) == ranks && len(form.GetLate()) == ranks &&
		len(form.GetTurnedAway()) == ranks && len(form.GetTargetMillis()) == ranks &&
		len(form.GetClassAccounts()) == classes && len(form.GetOffered()) == classes && len(form.GetReturned()) == classes &&
		len(form.GetAdmitted()) == classes && !slices.ContainsFunc(form.GetClassAccounts(), func(index int32) bool {
		return index < 0 || int(index) >= len(form.GetAccounts())
	})
}
