#include "coordination/leases/lease_verdict.h"

namespace sardinelb {

const char* toString(lease_verdict verdict)
{
    switch (verdict) {
    case lease_verdict::Granted:
        return "granted";
    case lease_verdict::Denied:
        return "denied";
    case lease_verdict::NotReady:
        return "not_ready";
    }
    return "invalid";
}

}
