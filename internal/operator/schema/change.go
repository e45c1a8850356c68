package schema

import (
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

// ErrNotDeclarable is returned for a change item that is not a put or delete of
// a declared entity.
var ErrNotDeclarable = errors.New("schema: change item is neither a put nor a delete of a declared entity")

// FromItem converts a put or delete; any other item is ErrNotDeclarable.
func FromItem(it fleet.ChangeItem) (*samphireforkv1.ChangeItem, error) {
	out := &samphireforkv1.ChangeItem{}
	switch {
	case it.PutDataCentre != nil:
		out.Item = &samphireforkv1.ChangeItem_PutDataCentre{PutDataCentre: fromDataCentre(*it.PutDataCentre)}
	case it.PutInstance != nil:
		out.Item = &samphireforkv1.ChangeItem_PutInstance{PutInstance: fromInstance(*it.PutInstance)}
	case it.PutPool != nil:
		out.Item = &samphireforkv1.ChangeItem_PutPool{PutPool: fromPool(*it.PutPool)}
	case it.PutTeam != nil:
		out.Item = &samphireforkv1.ChangeItem_PutTeam{PutTeam: fromTeam(*it.PutTeam)}
	case it.PutQueue != nil:
		out.Item = &samphireforkv1.ChangeItem_PutQueue{PutQueue: fromQueue(*it.PutQueue)}
	case it.PutService != nil:
		out.Item = &samphireforkv1.ChangeItem_PutService{PutService: fromService(*it.PutService)}
	case it.Delete != nil:
		ref := &samphireforkv1.EntityRef{Kind: string(it.Delete.Kind), Name: it.Delete.Name}
		out.Item = &samphireforkv1.ChangeItem_Delete{Delete: ref}
	default:
		return nil, ErrNotDeclarable
	}
	return out, nil
}

// ToItem converts a put or delete; an empty item is ErrNotDeclarable.
func ToItem(it *samphireforkv1.ChangeItem) (fleet.ChangeItem, error) {
	var out fleet.ChangeItem
	switch v := it.GetItem().(type) {
	case *samphireforkv1.ChangeItem_PutDataCentre:
		out.PutDataCentre = ref(toDataCentre(v.PutDataCentre))
	case *samphireforkv1.ChangeItem_PutInstance:
		out.PutInstance = ref(toInstance(v.PutInstance))
	case *samphireforkv1.ChangeItem_PutPool:
		out.PutPool = ref(toPool(v.PutPool))
	case *samphireforkv1.ChangeItem_PutTeam:
		out.PutTeam = ref(toTeam(v.PutTeam))
	case *samphireforkv1.ChangeItem_PutQueue:
		out.PutQueue = ref(toQueue(v.PutQueue))
	case *samphireforkv1.ChangeItem_PutService:
		out.PutService = ref(toService(v.PutService))
	case *samphireforkv1.ChangeItem_Delete:
		out.Delete = &fleet.EntityRef{Kind: fleet.EntityKind(v.Delete.GetKind()), Name: v.Delete.GetName()}
	default:
		return out, ErrNotDeclarable
	}
	return out, nil
}

func ref[T any](v T) *T { return &v }
