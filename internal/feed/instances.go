package feed

import (
	"cmp"
	"slices"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/platform"
)

// stateGone marks an instance that was removed from the list, in an event that
// carries only changes. The whole list is some 150 KB at full size; sending it to
// each follower at each of some thousand changes a day would exceed a sender's
// share of the network.
const stateGone = "gone"

// sameList reports whether both slices are the same list, by identity. The store
// replaces its list as a whole and never modifies one.
func sameList(a, b []platform.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// diffInstances returns the changes that turn the list before into the list after.
func diffInstances(before, after []platform.Instance) []platform.Instance {
	// Each stream compares at least once a second, but the list changes only some
	// thousand times a day.
	if sameList(before, after) {
		return nil
	}
	known := make(map[string]platform.Instance, len(before))
	for _, i := range before {
		known[i.ID] = i
	}
	var out []platform.Instance
	for _, i := range after {
		if known[i.ID] != i {
			out = append(out, i)
		}
		delete(known, i.ID)
	}
	for _, i := range known {
		i.State = stateGone
		out = append(out, i)
	}
	return out
}

// mergeInstances applies the changes to the list before.
func mergeInstances(before, changes []platform.Instance) []platform.Instance {
	byID := make(map[string]platform.Instance, len(before)+len(changes))
	for _, i := range before {
		byID[i.ID] = i
	}
	for _, i := range changes {
		if i.State == stateGone {
			delete(byID, i.ID)
			continue
		}
		byID[i.ID] = i
	}
	out := make([]platform.Instance, 0, len(byID))
	for _, i := range byID {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func instancesToProto(list []platform.Instance) []*pb.Instance {
	out := make([]*pb.Instance, 0, len(list))
	for _, i := range list {
		out = append(out, &pb.Instance{
			Id: i.ID, Address: i.Address, AvailabilityZone: i.AvailabilityZone,
			Region: i.Region, Role: i.Role, State: i.State,
		})
	}
	return out
}

func instancesFromProto(list []*pb.Instance) []platform.Instance {
	out := make([]platform.Instance, 0, len(list))
	for _, i := range list {
		out = append(out, platform.Instance{
			ID: i.GetId(), Address: i.GetAddress(), AvailabilityZone: i.GetAvailabilityZone(),
			Region: i.GetRegion(), Role: i.GetRole(), State: i.GetState(),
		})
	}
	return out
}

func objectsToProto(list []platform.Object) []*pb.Object {
	out := make([]*pb.Object, 0, len(list))
	for _, o := range list {
		out = append(out, &pb.Object{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted, Spec: o.Spec,
		})
	}
	return out
}

func objectsFromProto(list []*pb.Object) []platform.Object {
	out := make([]platform.Object, 0, len(list))
	for _, o := range list {
		out = append(out, platform.Object{
			Kind: o.GetKind(), Name: o.GetName(), Version: o.GetVersion(), Deleted: o.GetDeleted(), Spec: o.GetSpec(),
		})
	}
	return out
}
